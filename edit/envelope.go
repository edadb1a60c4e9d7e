package edit

import (
	"encoding/json"
	"time"

	"clementinehead.example/chead/conf"
)

// MaxHistory is the largest number of edits that an envelope lists.
const MaxHistory = 128

// Envelope is the value stored under fleet.ConfKey: the document, and as much of its
// history as is needed to recognize repeated edits and to find conflicts.
type Envelope struct {
	Serial   uint64                  `json:"serial"`   // incremented by each accepted edit
	Sections map[string]AcceptedEdit `json:"sections"` // last edit of each section, by section key
	Edits    []AcceptedEdit          `json:"edits"`    // latest edits, oldest first
	Document conf.Document           `json:"document"`
}

// AcceptedEdit identifies an accepted edit.
type AcceptedEdit struct {
	ID     string            `json:"id"`     // chosen by the sender of the edit
	Serial uint64            `json:"serial"` // serial of the envelope after the edit
	Who    string            `json:"who"`
	At     time.Time         `json:"at"`
	Cause  string            `json:"cause,omitempty"`
	Hashes map[string]string `json:"hashes,omitempty"` // hashes after the edit of the sections that it changed, by section key
}

// Read decodes a stored envelope. An empty value yields the envelope before the
// first edit. The error is of kind Unreadable.
func Read(value []byte) (Envelope, error) {
	var envelope Envelope
	if len(value) == 0 {
		return envelope, nil
	}
	if err := json.Unmarshal(value, &envelope); err != nil {
		return envelope, &Error{Op: "read", Kind: Unreadable, Err: err}
	}
	return envelope, nil
}

// Find returns the accepted edit with an id, if the envelope lists it.
func (e Envelope) Find(id string) (AcceptedEdit, bool) {
	for _, accepted := range e.Edits {
		if accepted.ID == id {
			return accepted, true
		}
	}
	return AcceptedEdit{}, false
}

// hashAt returns the hash that a section had at a serial. The result is false if
// the envelope's edits don't reach back far enough to know it.
func (e Envelope) hashAt(section string, serial uint64) (string, bool) {
	for i := len(e.Edits) - 1; i >= 0; i-- {
		accepted := e.Edits[i]
		if hash, ok := accepted.Hashes[section]; ok && accepted.Serial <= serial {
			return hash, true
		}
	}
	complete := len(e.Edits) == 0 || e.Edits[0].Serial == 1
	return emptyHash(section), complete
}
