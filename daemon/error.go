package daemon

import "fmt"

// Kind is the reason why a daemon cannot run.
type Kind int

// The kinds of Error.
const (
	Setting Kind = iota // a setting is invalid
	Address             // an address cannot be served
	Role                // a role failed
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error is the error for which a daemon cannot run.
type Error struct {
	Op   string // the operation, such as "listen caller"
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("daemon: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
