package roster

import "fmt"

// Kind says what failed.
type Kind int

// The kinds of Error.
const (
	Record Kind = iota // the daemon's record in the key-value service
	Join               // nobody answered
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error is a failure to join or to leave.
type Error struct {
	Op   string // the operation, such as "register"
	Kind Kind
	Err  error
}

// Error names the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("roster: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
