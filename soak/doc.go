// Package soak runs the real programs as separate processes on loopback, injects
// random faults from outside, and checks the promises to callers and endpoints
// by what these observe. It uses no internal interface of the programs, and
// signals only processes that it started, by their ids.
//
// A seed determines the plan of faults. The same seed gives the same plan, but
// not the same timing of the processes.
package soak
