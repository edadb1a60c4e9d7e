package tally

import "fmt"

// Kind is the way in which an operation failed.
type Kind int

// The kinds of Error.
const (
	// Unreadable means that usage counts or a histogram could not be encoded, decoded or read.
	Unreadable Kind = iota
	// Unwritten means that usage counts could not be written.
	Unwritten // Unkept
	// Period means that a period does not end after it begins.
	Period
	// Render means that a report could not be written in its format.
	Render
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -linecomment -output=kind_string.go

// Error is a failed operation.
type Error struct {
	Op   string // the operation, such as "flush"
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("tally: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
