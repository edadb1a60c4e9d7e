package daemon

import "fmt"

// Kind says what kept a daemon from running.
type Kind int

// The kinds of Error.
const (
	Setting Kind = iota // a setting that makes no sense
	Address             // an address that can't be served
	Role                // a role that failed
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error is what kept a daemon from running.
type Error struct {
	Op   string // the operation, such as "listen caller"
	Kind Kind
	Err  error
}

// Error names the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("daemon: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
