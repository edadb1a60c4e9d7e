package fleet

import "fmt"

// Kind is the rule that a fabric domain's value breaks.
type Kind int

// The kinds of Error.
const (
	Shared  Kind = iota // an instance is a member of two replicas
	Twice               // two replicas have the same ID
	Fencing             // a replica's fencing token is above the fabric domain's
	State               // a state that the chart does not define
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error reports a rule that a fabric domain's value breaks.
type Error struct {
	Op   string // the operation, such as "check"
	Kind Kind
	Name string // the instance or replica that breaks the rule
	Err  error
}

// Error returns the operation, the rule and the instance or replica.
func (e *Error) Error() string {
	text := fmt.Sprintf("fleet: %s: %s: %s", e.Op, e.Kind, e.Name)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
