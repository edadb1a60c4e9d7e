package pick

import (
	"fmt"
	"time"
)

// Kind says why a request got no slot.
type Kind int

// The kinds of Error.
const (
	// Full means that no slot was free for the request, and that it was refused: on
	// arrival by Admit, or in the queue because it was late while the queue was
	// saturated.
	Full Kind = iota
	// Late means that no slot became free within the longest wait.
	Late
	// NoEndpoint means that no endpoint serves the model or service.
	NoEndpoint // Nowhere
	// CutOff means that this daemon is cut off from endpoints, or its configuration is too
	// old for the request, and knows no other daemon that it could send the request through.
	CutOff // Cut off
	// TooLarge means that the prompt is larger than the memory of an endpoint.
	TooLarge // Too large
	// Disconnected means that the caller disconnected, or the deadline passed.
	Disconnected // Left
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -linecomment -output=kind_string.go

// Error says that a request got no slot. The request has not run.
type Error struct {
	Op         string
	Kind       Kind
	RetryAfter time.Duration // delay before the caller retries
	State      QueueState    // the queue when the request arrived
	Eligible   int           // number of endpoints that serve its model or service
	Waited     time.Duration // time in the queue; 0 if it was refused on arrival
}

// Error returns the operation, the kind, and the state on which the decision rests.
func (e *Error) Error() string {
	return fmt.Sprintf("pick: %s: %s: %d before it, %d endpoints, waited %v", e.Op, e.Kind, e.State.InTime+e.State.Late, e.Eligible, e.Waited)
}
