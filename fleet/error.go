package fleet

import "fmt"

// Kind says which rule a fabric domain's value breaks.
type Kind int

// The kinds of Error.
const (
	Shared  Kind = iota // an instance stands in two replicas
	Twice               // two replicas have the same id
	Fencing             // a replica's fencing number is above the fabric domain's
	State               // a state that the chart doesn't have
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error is a rule that a fabric domain's value breaks.
type Error struct {
	Op   string // the operation, such as "check"
	Kind Kind
	Name string // the instance or replica at fault
	Err  error
}

// Error names the operation, the rule and the place.
func (e *Error) Error() string {
	text := fmt.Sprintf("fleet: %s: %s: %s", e.Op, e.Kind, e.Name)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
