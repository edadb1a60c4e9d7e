// Package soak runs the real programs as separate processes on loopback, injects
// random faults from outside them, and checks the promises to callers and
// endpoints by what these see. It knows nothing of the programs' insides, and
// ends only processes that it started, by their ids.
package soak
