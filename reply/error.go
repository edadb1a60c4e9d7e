package reply

import (
	"errors"
	"fmt"
)

// Kind says why a message is no answer.
type Kind int

// The values of Kind.
const (
	Unread  Kind = iota // it ended with its connection before the request had been sent whole
	Status              // it begins with no status line of an answer
	Field               // a line of its head or its trailer is no field line
	Framing             // its head tells in two ways where the body ends
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error // nil if Kind says all
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("reply: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("reply: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Is reports whether err wraps an Error of the given kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
