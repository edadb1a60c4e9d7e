package audit

import "fmt"

// Kind is the reason of a failure.
type Kind int

// The kinds of Error.
const (
	Store  Kind = iota // the key-value service did not answer, or a value is not valid JSON
	Period             // a period that ends before it begins or is too long
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error reports a failure to read or write the audit log.
type Error struct {
	Op   string // the operation, such as "read"
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("audit: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
