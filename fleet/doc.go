// Package fleet decides which instance works for which replica. Its functions
// are pure: from the state of one fabric domain, the configuration and what is
// seen of the instances they work out the next state.
//
// It starts no goroutine and knows no clock, network or store; the package
// keeper carries its decisions out.
package fleet
