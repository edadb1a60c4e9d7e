package keeper

import "fmt"

// Kind is the kind of failure of a keeper's round or order.
type Kind int

// The kinds of Error.
const (
	// Read means that the fabric domain's value could not be read or decoded.
	Read Kind = iota
	// Write means that the new value was not written.
	Write
	// Unsettled means that the outcome of writing the new value is unknown.
	Unsettled
	// InvalidValue means that the new value broke a rule of package fleet and was not written.
	InvalidValue // Faulty
	// Lapsed means that the lease may have lapsed.
	Lapsed
	// OrderFailed means that an endpoint did not accept an order.
	OrderFailed // Ordered
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -linecomment -output=kind_string.go

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
