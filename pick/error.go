package pick

import (
	"fmt"
	"time"
)

// Kind says why a request got no place.
type Kind int

// The kinds of Error.
const (
	Full    Kind = iota // all endpoints are full, and the line is too long
	Late                // no place came free in the time that it could wait
	Nowhere             // no endpoint serves it
	Left                // the caller left, or the deadline passed
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error is a request that got no place; it has not run.
type Error struct {
	Op     string
	Kind   Kind
	After  time.Duration // when to come back
	Queue  Queue         // the line as it found it
	Fit    int           // endpoints that serve its model or service
	Waited time.Duration
}

// Error names the operation, the kind and the inputs.
func (e *Error) Error() string {
	return fmt.Sprintf("pick: %s: %s: %d before it, %d endpoints, waited %v", e.Op, e.Kind, e.Queue.InTime+e.Queue.Late, e.Fit, e.Waited)
}
