// Package edit applies edits to the operators' configuration document. It merges
// edits by section and finds conflicts.
//
// Its functions are pure: they read and write no store. Package admin writes the
// result to the key-value service and, after a lost answer, looks up the edit by
// its id.
package edit
