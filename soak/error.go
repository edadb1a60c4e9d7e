package soak

import "fmt"

// Kind is the kind of a failure of the soak itself.
type Kind int

const (
	// Start means that a process or a listener could not be started.
	Start Kind = iota
	// Never means that the system did not begin to serve.
	Never
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error is a failure to run the soak. It says nothing about the promises.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("soak: %s: %v: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
