// Package daemon assembles one `chead serve` process: it builds the roles from
// the settings, connects them to each other, and starts and stops them in order.
// A role is a part of the daemon that runs by itself, such as the keeper, the
// gate or the roster.
//
// It has no policy of its own. Everything that reaches outside the process is in
// Options, so that tests can run many daemons in one process.
package daemon
