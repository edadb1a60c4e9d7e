package pick

import (
	"fmt"
	"time"
)

// Kind says why a request got no slot.
type Kind int

// The kinds of Error.
const (
	Full    Kind = iota // all endpoints are full, and the queue is too long
	Late                // no slot became free within the longest wait
	Nowhere             // no endpoint serves the model or service
	Left                // the caller disconnected, or the deadline passed
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error says that a request got no slot. The request has not run.
type Error struct {
	Op     string
	Kind   Kind
	After  time.Duration // delay before the caller retries
	Queue  Queue         // the queue when the request arrived
	Fit    int           // number of endpoints that serve its model or service
	Waited time.Duration
}

// Error returns the operation, the kind, and the state on which the decision rests.
func (e *Error) Error() string {
	return fmt.Sprintf("pick: %s: %s: %d before it, %d endpoints, waited %v", e.Op, e.Kind, e.Queue.InTime+e.Queue.Late, e.Fit, e.Waited)
}
