package tally

import "fmt"

// Kind says how an operation failed.
type Kind int

// The kinds of Error.
const (
	Unreadable Kind = iota // a sheet or histogram that can't be decoded
	Unkept                 // a sheet that could not be written
	Period                 // a period that makes no sense
	Render                 // a report that could not be written out
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error is a failed operation.
type Error struct {
	Op   string // the operation, such as "flush"
	Kind Kind
	Err  error
}

// Error names the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("tally: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
