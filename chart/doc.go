// Package chart holds the state charts of a replica and of an instance, and
// interprets them. A chart is a JSON file that is built into the program; the
// code asks it what an event does to a state and never decides that itself.
//
// It keeps no state of its own and gives no reason for an event; both are the
// business of the package fleet.
package chart
