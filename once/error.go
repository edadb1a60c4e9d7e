package once

import "fmt"

// Kind is the reason why a claim was not granted.
type Kind int

// The kinds of Error.
const (
	// Down means that the store can't be reached: this attempt was not run.
	Down Kind = iota
	// Pending means that another attempt holds the claim and may still be running.
	Pending
	// Unknown means that an earlier attempt may have run and stored no answer.
	Unknown
	// NotStored means that an earlier attempt ran; its answer was too large to store.
	NotStored // Kept
	// Reused means that the key was used for a request with another body.
	Reused
	// Expired means that the request's own time is before the window.
	Expired
	// Future means that the request's own time is ahead of this daemon's clock.
	Future
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -linecomment -output=kind_string.go

// Error reports a claim that was not granted or a record that was not written.
type Error struct {
	Op   string // the operation, such as "claim"
	Kind Kind
	Err  error // nil if the record itself is the cause
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("once: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("once: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
