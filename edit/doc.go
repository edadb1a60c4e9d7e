// Package edit decides what becomes of an edit of the operators'
// configuration document: it merges edits by section, finds conflicts, and
// settles writes whose answer was lost.
package edit
