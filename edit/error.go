package edit

import (
	"fmt"

	"clementinehead.example/chead/conf"
)

// Kind says why an edit was not accepted.
type Kind int

// The kinds of Error.
const (
	Invalid    Kind = iota // the edit, or the document that would come of it, has faults
	Conflict               // another edit changed the same section
	Reused                 // the id was given to another edit
	TooLarge               // the document would be larger than the store takes
	Unreadable             // the stored value can't be read
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error is an edit that was not accepted.
type Error struct {
	Op      string // the operation, such as "apply"
	Kind    Kind
	Faults  []*conf.Error // of Invalid
	Section string        // of Conflict
	Stamp   Stamp         // of Conflict and Reused: the other edit
	Err     error
}

// Error names the operation, the kind and the cause.
func (e *Error) Error() string {
	switch {
	case e.Kind == Conflict:
		return fmt.Sprintf("edit: %s: section %s was changed by %s at %s in serial %d (edit %s)",
			e.Op, e.Section, e.Stamp.Who, e.Stamp.At.Format("2006-01-02 15:04:05 MST"), e.Stamp.Serial, e.Stamp.ID)
	case e.Kind == Reused:
		return fmt.Sprintf("edit: %s: id %s belongs to another edit, serial %d by %s",
			e.Op, e.Stamp.ID, e.Stamp.Serial, e.Stamp.Who)
	case len(e.Faults) > 0:
		return fmt.Sprintf("edit: %s: %s: %d faults, first: %v", e.Op, e.Kind, len(e.Faults), e.Faults[0])
	default:
		return fmt.Sprintf("edit: %s: %s: %v", e.Op, e.Kind, e.Err)
	}
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
