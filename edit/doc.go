// Package edit decides what becomes of an edit of the operators'
// configuration document: it merges edits by section and finds conflicts.
//
// Its functions are pure. How an edit is written to the key-value service, and
// how a lost answer is settled by the edit's own id, is package admin's part.
package edit
