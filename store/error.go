package store

import "fmt"

// Kind is the kind of a failed call.
type Kind int

// The kinds of Error.
const (
	Unavailable Kind = iota // not done: the service refused it or could not be reached
	Lost                    // unknown: possibly sent, but no usable answer came
	Conflict                // not done: the key has another revision
	NotFound                // there is no such key or lease
	Limited                 // not done: over the service's rate limit
	Invalid                 // not done: the call is malformed or too large
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error is a failed call.
type Error struct {
	Op   string // the operation, such as "put"
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("store: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
