// Package edge assembles one daemon on the users' platform. The daemon watches the
// platform's store, serves callers, exchanges gossip with the other daemons and is a
// candidate for keeper; these are done by other packages. Edge itself decides only
// when the daemon is ready for callers and how it shuts down. It also reads the
// settings file and keeps the daemon's record in the store.
package edge
