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

// hashLength is the number of hexadecimal digits kept of a section's hash.
const hashLength = 16

// Edit is what an operator wants changed.
type Edit struct {
	ID       string                     // chosen by the sender, unique for ever
	Base     uint64                     // the serial that it is based on
	Who      string                     // the operator
	At       time.Time                  // when it was made
	Cause    string                     // why
	Sections map[string]json.RawMessage // by section key: the new content
}

// Apply returns the envelope that follows from an edit. It changes nothing and
// returns the current envelope where the edit is there already, or where every
// section has the wanted content.
//
// A section that the edit leaves as it was at its base is not touched. One that
// it changes must not have been changed by anyone else since; that is a
// Conflict. The document that comes of it is checked as a whole.
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
		return current, Refuse(err)
	}
	if stamp, ok := current.Find(e.ID); ok {
		return current, again(stamp, wanted, e)
	}
	changed, err := merge(current, wanted, e)
	if err != nil || len(changed) == 0 {
		return current, err
	}
	merged := conf.Replace(current.Document, wanted, changed)
	if faults := conf.Check(merged); len(faults) > 0 {
		return current, &Error{Op: "apply", Kind: Invalid, Faults: faults}
	}
	return next(current, merged, e, changed), nil
}

// Refuse returns the Invalid error for content that conf refused.
func Refuse(err error) *Error {
	failure := &Error{Op: "apply", Kind: Invalid, Err: err}
	var fault *conf.Error
	if errors.As(err, &fault) {
		failure.Faults = []*conf.Error{fault}
	}
	return failure
}

// again judges an edit whose id is known: the same one sent again is right,
// another one under the same id is not.
func again(stamp Stamp, wanted conf.Document, e Edit) error {
	for section, hash := range stamp.Hashes {
		if _, sent := e.Sections[section]; !sent || hashOf(wanted, section) != hash {
			return &Error{Op: "apply", Kind: Reused, Stamp: stamp}
		}
	}
	return nil
}

// merge returns the keys of the sections that an edit changes.
func merge(current Envelope, wanted conf.Document, e Edit) ([]string, error) {
	var changed []string
	for _, section := range slices.Sorted(maps.Keys(e.Sections)) {
		sent := hashOf(wanted, section)
		if sent == hashOf(current.Document, section) {
			continue
		}
		if last := current.Sections[section]; last.Serial > e.Base {
			if based, known := current.hashAt(section, e.Base); known && sent == based {
				continue // the sender left it as it was
			}
			return nil, &Error{Op: "apply", Kind: Conflict, Section: section, Stamp: last}
		}
		changed = append(changed, section)
	}
	return changed, nil
}

// next is the envelope after an accepted edit.
func next(current Envelope, merged conf.Document, e Edit, changed []string) Envelope {
	stamp := Stamp{
		ID: e.ID, Serial: current.Serial + 1, Who: e.Who, At: e.At, Cause: e.Cause,
		Hashes: map[string]string{},
	}
	sections := maps.Clone(current.Sections)
	if sections == nil {
		sections = map[string]Stamp{}
	}
	for _, section := range changed {
		stamp.Hashes[section] = hashOf(merged, section)
		sections[section] = Stamp{ID: stamp.ID, Serial: stamp.Serial, Who: stamp.Who, At: stamp.At, Cause: stamp.Cause}
	}
	edits := append(slices.Clone(current.Edits), stamp)
	return Envelope{
		Serial:   stamp.Serial,
		Sections: sections,
		Edits:    edits[max(0, len(edits)-History):],
		Document: merged,
	}
}

// hashOf digests a section's content.
func hashOf(d conf.Document, section string) string {
	content, err := conf.Section(d, section)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])[:hashLength]
}

func emptyHash(section string) string { return hashOf(conf.Document{}, section) }
