package edit

import (
	"encoding/json"
	"time"

	"clementinehead.example/chead/conf"
)

// History is the number of edits that an envelope remembers.
const History = 128

// Envelope is the value kept under fleet.Conf: the document, and enough of its
// history to tell edits apart.
type Envelope struct {
	Serial   uint64           `json:"serial"`   // rises by one with each accepted edit
	Sections map[string]Stamp `json:"sections"` // by section key: its last edit
	Edits    []Stamp          `json:"edits"`    // the latest, oldest first
	Document conf.Document    `json:"document"`
}

// Stamp names an accepted edit.
type Stamp struct {
	ID     string            `json:"id"`     // the edit's own id, given by its sender
	Serial uint64            `json:"serial"` // the envelope's serial after it
	Who    string            `json:"who"`
	At     time.Time         `json:"at"`
	Cause  string            `json:"cause,omitempty"`
	Hashes map[string]string `json:"hashes,omitempty"` // of the sections it changed, after it
}

// Read reads an envelope from a stored value. An empty value stands for the
// envelope before the first edit.
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

// Find returns the stamp of an edit, where the envelope remembers it.
func (e Envelope) Find(id string) (Stamp, bool) {
	for _, stamp := range e.Edits {
		if stamp.ID == id {
			return stamp, true
		}
	}
	return Stamp{}, false
}

// hashAt returns the hash that a section had at a serial, where the envelope
// remembers it.
func (e Envelope) hashAt(section string, serial uint64) (string, bool) {
	for i := len(e.Edits) - 1; i >= 0; i-- {
		stamp := e.Edits[i]
		if hash, ok := stamp.Hashes[section]; ok && stamp.Serial <= serial {
			return hash, true
		}
	}
	first := len(e.Edits) == 0 || e.Edits[0].Serial == 1
	return emptyHash(section), first
}
