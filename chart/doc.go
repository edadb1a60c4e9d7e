// Package chart holds the state charts of a replica and of an instance and
// interprets them. A state chart is a finite state machine: a set of states
// and, for each state, the events that it accepts and the states to which they
// lead. The charts are JSON files embedded in the program. Every state
// transition is looked up in them; no other code decides where an event leads.
//
// The package stores no current state and doesn't decide which event occurs or
// why. Package fleet does both.
package chart
