package entry

import (
	"fmt"
	"time"

	"clementinehead.example/chead/engine"
)

// Error is a request that was not answered.
type Error struct {
	Op    string // the step that failed, such as "admit" or "dispatch"
	Kind  Code
	Ran   engine.Ran    // what is known of the request
	Retry time.Duration // when coming back helps; 0 where it does not
	Err   error         // nil where Kind says it all
}

// Error names the step, the code and the cause.
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
