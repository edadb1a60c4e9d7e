package gate

import "fmt"

// Kind is the cause of an Error.
type Kind int

// The kinds of Error.
const (
	Unreachable Kind = iota // the other daemon did not answer
	Untaken                 // the next gate did not accept a handover
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error is a failed operation of a gate.
type Error struct {
	Op      string // the operation, such as "handover"
	Replica string
	Kind    Kind
	Err     error
}

// Error returns the operation, the replica, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("gate: %s %s: %s: %v", e.Op, e.Replica, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
