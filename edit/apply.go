package edit

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"clementinehead.example/chead/conf"
)

// hashLength is the number of hexadecimal digits to which the hash of a section is
// cut.
const hashLength = 16

// Edit is a change of the document that an operator requests.
type Edit struct {
	ID       string                     // chosen by the sender, never used for another edit
	Base     uint64                     // serial of the document that it is based on
	Who      string                     // the operator
	At       time.Time                  // when it was made
	Cause    string                     // why
	Sections map[string]json.RawMessage // new content, by section key
}

// Apply returns the envelope after an edit. It returns the current envelope if the
// edit was accepted before or if every section has the requested content already.
//
// A section that the edit leaves as it was at its base stays as it is. A section
// that it changes must not have been changed by another edit since; otherwise the
// error is of kind Conflict. The resulting document is checked as a whole, and
// faults in it or in the edit are an error of kind Invalid. The error is of kind
// Reused if the id was given to another edit.
func Apply(current Envelope, e Edit) (Envelope, error) {
	if e.ID == "" || e.Who == "" {
		return current, &Error{Op: "apply", Kind: Invalid, Err: errors.New("an edit has an id and says who made it")}
	}
	if e.Base > current.Serial {
		err := fmt.Errorf("based on serial %d, but the latest is %d", e.Base, current.Serial)
		return current, &Error{Op: "apply", Kind: Invalid, Err: err}
	}
	wanted, err := conf.WithSections(current.Document, e.Sections)
	if err != nil {
		return current, InvalidError(err)
	}
	if accepted, ok := current.Find(e.ID); ok {
		return current, checkReused(accepted, wanted, e)
	}
	changed, err := changedSections(current, wanted, e)
	if err != nil || len(changed) == 0 {
		return current, err
	}
	merged := conf.ReplaceSections(current.Document, wanted, changed)
	if faults := conf.Check(merged); len(faults) > 0 {
		return current, &Error{Op: "apply", Kind: Invalid, Faults: faults}
	}
	return next(current, merged, e, changed), nil
}

// InvalidError returns an error of kind Invalid for content that package conf refused.
func InvalidError(err error) *Error {
	failure := &Error{Op: "apply", Kind: Invalid, Err: err}
	var fault *conf.Error
	if errors.As(err, &fault) {
		failure.Faults = []*conf.Error{fault}
	}
	return failure
}

// checkReused checks an edit whose id was accepted before. It returns nil if the
// same edit was sent again, and an error of kind Reused if it is another one.
func checkReused(accepted AcceptedEdit, wanted conf.Document, e Edit) error {
	for section, hash := range accepted.Hashes {
		if _, sent := e.Sections[section]; !sent || hashOf(wanted, section) != hash {
			return &Error{Op: "apply", Kind: Reused, Other: accepted}
		}
	}
	return nil
}

// changedSections returns the keys of the sections that an edit changes. The error
// is of kind Conflict.
func changedSections(current Envelope, wanted conf.Document, e Edit) ([]string, error) {
	var changed []string
	for _, section := range slices.Sorted(maps.Keys(e.Sections)) {
		sent := hashOf(wanted, section)
		if sent == hashOf(current.Document, section) {
			continue
		}
		if latest := current.Sections[section]; latest.Serial > e.Base {
			if based, known := current.hashAt(section, e.Base); known && sent == based {
				continue // not changed by the sender since the base
			}
			return nil, &Error{Op: "apply", Kind: Conflict, Section: section, Other: latest}
		}
		changed = append(changed, section)
	}
	return changed, nil
}

// next returns the envelope after an accepted edit.
func next(current Envelope, merged conf.Document, e Edit, changed []string) Envelope {
	accepted := AcceptedEdit{
		ID: e.ID, Serial: current.Serial + 1, Who: e.Who, At: e.At, Cause: e.Cause,
		Hashes: map[string]string{},
	}
	sections := maps.Clone(current.Sections)
	if sections == nil {
		sections = map[string]AcceptedEdit{}
	}
	for _, section := range changed {
		accepted.Hashes[section] = hashOf(merged, section)
		sections[section] = AcceptedEdit{ID: accepted.ID, Serial: accepted.Serial, Who: accepted.Who, At: accepted.At, Cause: accepted.Cause}
	}
	edits := append(slices.Clone(current.Edits), accepted)
	return Envelope{
		Serial:   accepted.Serial,
		Sections: sections,
		Edits:    edits[max(0, len(edits)-MaxHistory):],
		Document: merged,
	}
}

// hashOf returns the hash of a section, empty for a section that is not known.
func hashOf(d conf.Document, section string) string {
	content, err := conf.SectionJSON(d, section)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])[:hashLength]
}

func emptyHash(section string) string { return hashOf(conf.Document{}, section) }
