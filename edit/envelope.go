package edit

import (
	"time"

	"clementinehead.example/chead/conf"
)

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
	ID     string    `json:"id"`     // the edit's own id, given by its sender
	Serial uint64    `json:"serial"` // the envelope's serial after it
	Who    string    `json:"who"`
	At     time.Time `json:"at"`
	Cause  string    `json:"cause,omitempty"`
}
