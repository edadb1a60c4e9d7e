//go:build review

// Command stand plays the scripted cases of the review. Each case starts daemons as
// separate processes on loopback addresses, with stand-ins for the store, the operator,
// the runners and the callers in this process, and checks one rule by what the runners
// and the callers saw. It exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run.
package main
