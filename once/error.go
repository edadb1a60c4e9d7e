package once

import "fmt"

// Kind says why a claim was not given.
type Kind int

// The kinds of Error.
const (
	Down    Kind = iota // the store can't be asked: this attempt was not run
	Pending             // another attempt holds the claim and may still be running
	Unknown             // an earlier attempt may have run and left no answer
	Kept                // an earlier attempt ran; its answer was too large to keep
	Reused              // the key stands for a request with another body
	Expired             // the request's own time lies before the window
	Future              // the request's own time lies ahead of this daemon's clock
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error is a claim that was not given, or a record that could not be written.
type Error struct {
	Op   string // the operation, such as "claim"
	Kind Kind
	Err  error // nil where the record itself is the cause
}

// Error names the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("once: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("once: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
