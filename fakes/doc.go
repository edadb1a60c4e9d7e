// Package fakes holds small stand-ins for the systems around the daemons: the
// network, the platform's key-value service, model engines, the gates of
// replicas and plain services. Tests use them under testing/synctest; cmd/chfake
// runs them as processes.
//
// The stand-ins keep the contracts that the clients rely on and can inject
// faults. They do not model the speed of any real engine, and production code
// does not import them.
package fakes
