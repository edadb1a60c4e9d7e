package keeper

import "fmt"

// Kind is the kind of failure of a keeper's round or order.
type Kind int

// The kinds of Error.
const (
	Read      Kind = iota // the fabric domain's value could not be read or decoded
	Write                 // the new value was not written
	Unsettled             // the outcome of writing the new value is unknown
	Faulty                // the new value broke a rule of package fleet and was not written
	Lapsed                // the lease may have lapsed
	Ordered               // an endpoint did not accept an order
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error is a failure of a keeper.
type Error struct {
	Op   string // the operation, such as "write"
	Kind Kind
	Name string // fabric domain or instance
	Err  error
}

// Error returns the operation, the fabric domain or instance, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("keeper: %s %s: %s: %v", e.Op, e.Name, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
