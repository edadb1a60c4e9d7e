// Package audit keeps the trail of changes: who changed what, when, from what
// to what, and why. It holds no usage counts; those are package tally's.
//
// A Trail buffers entries and writes them in batches under keys that are
// created once, so a batch whose answer was lost is written again without
// harm. An entry that several daemons write is one entry to a reader, by its
// id. While the store is down entries wait in a bounded buffer; what had to be
// dropped is itself an entry.
package audit
