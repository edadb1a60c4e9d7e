package edit

import (
	"fmt"

	"clementinehead.example/chead/conf"
)

// Kind is the reason why an edit was not accepted.
type Kind int

// The kinds of Error.
const (
	Invalid    Kind = iota // the edit or the resulting document has faults
	Conflict               // another edit changed the same section
	Reused                 // the id was given to another edit
	TooLarge               // the document would be larger than the store accepts
	Unreadable             // the stored value can't be decoded
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Error reports an edit that was not accepted.
type Error struct {
	Op      string // the operation, such as "apply"
	Kind    Kind
	Faults  []*conf.Error // for Invalid
	Section string        // for Conflict
	Other   AcceptedEdit  // for Conflict and Reused: the other edit
	Err     error
}

// Error returns the operation, the kind and the cause. For Conflict and Reused it
// describes the other edit instead of the kind and the cause.
func (e *Error) Error() string {
	switch {
	case e.Kind == Conflict:
		return fmt.Sprintf("edit: %s: section %s was changed by %s at %s in serial %d (edit %s)",
			e.Op, e.Section, e.Other.Who, e.Other.At.Format("2006-01-02 15:04:05 MST"), e.Other.Serial, e.Other.ID)
	case e.Kind == Reused:
		return fmt.Sprintf("edit: %s: id %s belongs to another edit, serial %d by %s",
			e.Op, e.Other.ID, e.Other.Serial, e.Other.Who)
	case len(e.Faults) > 0:
		return fmt.Sprintf("edit: %s: %s: %d faults, first: %v", e.Op, e.Kind, len(e.Faults), e.Faults[0])
	default:
		return fmt.Sprintf("edit: %s: %s: %v", e.Op, e.Kind, e.Err)
	}
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
