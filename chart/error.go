package chart

import "fmt"

// Kind is the kind of a fault in a chart.
type Kind int

// The kinds of Error.
const (
	Syntax      Kind = iota // not valid JSON, or an unknown field
	Undeclared              // a state that the chart doesn't have, or a state or event that the code doesn't have
	Unreachable             // a state that can't be reached from the start
	Unused                  // a state or event of the code that the chart doesn't use
	Trap                    // a state from which no final state can be reached, in a chart that has one
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error is a fault in a chart.
type Error struct {
	Op   string // the operation, such as "load"
	Kind Kind
	Name string // the chart, state or event at fault
	Err  error
}

// Error returns the operation, the kind, the name at fault and the cause, if any.
func (e *Error) Error() string {
	text := fmt.Sprintf("chart: %s: %s: %s", e.Op, e.Kind, e.Name)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
