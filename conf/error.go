package conf

import (
	"fmt"
	"strings"
)

// Kind is the kind of a fault in a document or in settings.
type Kind int

// The kinds of Error.
const (
	Syntax   Kind = iota // not JSON
	Unknown              // a field that does not exist
	Type                 // a value of the wrong type
	Missing              // a required value is absent
	Range                // a value out of range
	Dangling             // a reference to a name that is not defined
	Clash                // two values that contradict each other
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error is a fault in a document or in settings.
type Error struct {
	Op      string // the operation, such as "parse" or "check"
	Kind    Kind
	Section string // key of the section, empty for the whole document
	Path    string // path within the section, such as "coast.size"
	Reason  string
}

// Error returns the operation, the location, the kind and the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("conf: %s: %s: %s: %s", e.Op, e.Location(), e.Kind, e.Reason)
}

// Location returns the section and the path, such as "groups.coast.size", or
// "document" if both are empty.
func (e *Error) Location() string {
	location := strings.Trim(e.Section+"."+e.Path, ".")
	if location == "" {
		return "document"
	}
	return location
}
