package story

import "fmt"

// Kind says what went wrong.
type Kind int

const (
	// Unreadable is a log that could not be read.
	Unreadable Kind = iota
	// Missing is a request of which the logs say nothing.
	Missing
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error is an operation that failed.
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

// Unwrap returns the error underneath, or nil.
func (e *Error) Unwrap() error { return e.Err }
