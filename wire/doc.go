// Package wire holds the messages that daemons send each other and the
// connect services generated from them.
//
// Everything in it but this file is generated from the .proto files beside it
// by `make generate`. It holds no behaviour: the packages roster, relay, gate
// and tally implement the services. Messages between a daemon and callers,
// endpoints, operators or the key-value service are not here.
package wire
