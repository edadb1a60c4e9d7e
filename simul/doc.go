// Package simul simulates the users' platform as its documentation describes it,
// for tests and for cmd/chfake. It has the platform's store, model runners that
// accept orders, plain services, and the requests of callers. No product code
// imports it.
//
// The simulations keep the contracts that daemons rely on: revisions, leases and
// watches of the store, and fencing tokens, epochs and group states of the runners.
// They do not model the speed of a real engine.
package simul
