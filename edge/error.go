package edge

import "fmt"

// Kind classifies errors of a daemon.
type Kind int

// The kinds of Error.
const (
	Setting Kind = iota // the settings file is invalid
	Address             // an address cannot be listened on
	Part                // a part of the daemon failed
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error is the error that a daemon ended with or could not start for.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error names the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("edge: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
