package gossip

import "fmt"

// Kind is the cause of an Error.
type Kind int

// The kinds of Error.
const (
	Closed Kind = iota // the socket was closed by other code while Run used it
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error is a failure to exchange messages.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("gossip: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
