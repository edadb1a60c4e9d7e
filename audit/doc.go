// Package audit keeps the audit log: who changed what, when, from what to what,
// and why. It holds no usage counts; package tally does.
//
// A Log queues entries and writes them in batches, each under a new key, so a
// batch whose answer was lost can be written again without a second entry. An
// entry that several daemons write has the same id at each of them, and Read
// returns it once. While the store is down, entries wait in a bounded queue; an
// entry of its own states how many were dropped.
package audit
