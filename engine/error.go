package engine

import "fmt"

// Kind classifies a failed call, in particular by whether the request may have
// run.
type Kind int

// The kinds of Error.
const (
	Unsent  Kind = iota // no byte can have reached the endpoint: not run
	Refused             // the endpoint reports that it did not run the request
	Stale               // the endpoint rejected an old fencing number: not run
	Broken              // the connection failed or timed out: may have run
	Invalid             // the endpoint rejected the request as invalid: not run
	Gone                // the endpoint does not know the stream because it restarted
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error is a failed call to an endpoint.
type Error struct {
	Op      string // the operation, such as "open"
	Address string // host:port of the endpoint
	Kind    Kind
	Status  int // HTTP status, 0 if there was no response
	Err     error
}

// Error returns the operation, the endpoint, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("engine: %s %s: %s: %v", e.Op, e.Address, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
