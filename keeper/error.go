package keeper

import "fmt"

// Kind says why a round of a keeper came to nothing.
type Kind int

// The kinds of Error.
const (
	Read      Kind = iota // the fabric domain's value can't be read
	Write                 // the new value was not written
	Unsettled             // it isn't known whether the new value was written
	Faulty                // the new value broke a rule and was not written
	Lapsed                // the lease isn't known to hold
	Ordered               // an endpoint did not take an order
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error is a failure of a keeper.
type Error struct {
	Op   string // the operation, such as "write"
	Kind Kind
	Name string // fabric domain or instance
	Err  error
}

// Error names the operation, the kind, the place and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("keeper: %s %s: %s: %v", e.Op, e.Name, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
