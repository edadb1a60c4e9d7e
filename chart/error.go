package chart

import "fmt"

// Kind says what is wrong with a chart.
type Kind int

// The kinds of Error.
const (
	Syntax      Kind = iota // not JSON, or an unknown field
	Undeclared              // a state or an event that nothing declares
	Unreachable             // a state that no event leads to
	Unused                  // a name of the code that the chart doesn't use
	Trap                    // a state without a way on to where charts end
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error is a fault in a chart.
type Error struct {
	Op   string // the operation, such as "load"
	Kind Kind
	Name string // the chart, state or event at fault
	Err  error
}

// Error names the operation, the kind and the place.
func (e *Error) Error() string {
	text := fmt.Sprintf("chart: %s: %s: %s", e.Op, e.Kind, e.Name)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
