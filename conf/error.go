package conf

import (
	"fmt"
	"strings"
)

// Kind says what is wrong with a document or with settings.
type Kind int

// The kinds of Error.
const (
	Syntax   Kind = iota // not JSON
	Unknown              // a field that does not exist
	Type                 // a value of the wrong type
	Missing              // a value that has to be given
	Range                // a value out of its bounds
	Dangling             // a name that stands for nothing
	Clash                // two values that exclude each other
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error is a fault in a document or in settings.
type Error struct {
	Op      string // the operation, such as "parse" or "check"
	Kind    Kind
	Section string // the section's key, empty for the whole document
	Path    string // the path inside the section, such as "coast.size"
	Reason  string
}

// Error names the operation, the place and the fault.
func (e *Error) Error() string {
	return fmt.Sprintf("conf: %s: %s: %s: %s", e.Op, e.Place(), e.Kind, e.Reason)
}

// Place is the section and the path in one, such as "groups.coast.size".
func (e *Error) Place() string {
	place := strings.Trim(e.Section+"."+e.Path, ".")
	if place == "" {
		return "document"
	}
	return place
}
