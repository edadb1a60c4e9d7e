package entry

import (
	"fmt"
	"time"

	"clementinehead.example/chead/engine"
)

// Error is a request that got no answer, or an incomplete one.
type Error struct {
	Op    string // the step that failed, such as "admit" or "dispatch"
	Kind  Code
	Ran   engine.Ran    // whether the request has run
	Retry time.Duration // time after which a retry may succeed; 0 where none will
	Err   error         // cause; nil where Kind says all
}

// Error returns the step, the code's message and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("entry: %s: %s", e.Op, meanings[e.Kind].text)
	}
	return fmt.Sprintf("entry: %s: %s: %v", e.Op, meanings[e.Kind].text, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// reject returns the error of a request that was not run.
func reject(op string, kind Code, err error) *Error {
	return &Error{Op: op, Kind: kind, Ran: engine.No, Err: err}
}
