package conns

import "fmt"

// Kind says whether a failed request may have reached the endpoint.
type Kind int

// The kinds of Error.
const (
	Unsent Kind = iota // no byte was sent: it has not run
	Sent               // it may have run
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error describes a failed request to an endpoint.
type Error struct {
	Op      string
	Address string
	Kind    Kind
	Err     error
}

// Error returns the operation, the endpoint's address, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("conns: %s %s: %s: %v", e.Op, e.Address, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
