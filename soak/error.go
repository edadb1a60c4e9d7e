package soak

import "fmt"

// Kind says what went wrong with the soak itself.
type Kind int

const (
	// Start is a process or a listener that could not be started.
	Start Kind = iota
	// Never is a system that did not begin to serve.
	Never
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error is a soak that could not be run: nothing is known of the promises.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("soak: %s: %v: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the error underneath.
func (e *Error) Unwrap() error { return e.Err }
