package bound

import (
	"errors"
	"fmt"
)

// Kind says what an Error is about.
type Kind int

// The values of Kind.
const (
	TooLarge Kind = iota // more bytes than the limit
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error is the error type of this package.
type Error struct {
	Op    string
	Kind  Kind
	Limit int64 // bytes
}

// Error returns the operation, the kind and the limit.
func (e *Error) Error() string {
	return fmt.Sprintf("bound: %s: %s: over %d bytes", e.Op, e.Kind, e.Limit)
}

// IsTooLarge reports whether an error is of kind TooLarge.
func IsTooLarge(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == TooLarge
}
