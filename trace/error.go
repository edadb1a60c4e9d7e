package trace

import "fmt"

// Kind is the kind of an Error.
type Kind int

const (
	// Unreadable means that a log could not be read.
	Unreadable Kind = iota
	// Missing means that no log line carries the id of the request.
	Missing
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error is the error of a failed operation of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %v", e.Op, e.Kind)
	}
	return fmt.Sprintf("%s: %v: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the underlying error, or nil if there is none.
func (e *Error) Unwrap() error { return e.Err }
