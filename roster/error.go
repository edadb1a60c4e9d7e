package roster

import "fmt"

// Kind classifies an Error.
type Kind int

// The kinds of Error.
const (
	// Record means that a daemon's record in the key-value service could not be read or written.
	Record Kind = iota
	// NoSender means that a heartbeat lacks its sender's id.
	NoSender // Join
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -linecomment -output=kind_string.go

// Error is a failure to access the daemons' records or to handle a heartbeat.
type Error struct {
	Op   string // the operation, such as "read records"
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("roster: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
