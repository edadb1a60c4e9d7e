package store

import "fmt"

// Kind says how a call failed.
type Kind int

// The kinds of Error.
const (
	Unavailable Kind = iota // not done: the service refused it or could not be reached
	Lost                    // unknown: sent, but no answer came
	Conflict                // not done: the key's revision was another
	NotFound                // there is no such key or lease
	Limited                 // not done: over the service's rate
	Invalid                 // not done: the call makes no sense
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error is a failed call.
type Error struct {
	Op   string // the operation, such as "put"
	Kind Kind
	Err  error
}

// Error names the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("store: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
