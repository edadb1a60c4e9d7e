package audit

import (
	"encoding/json"
	"time"
)

// Entry describes one change. Its ID consists of what changed and of the resulting
// revision or serial, so that an entry written twice can be recognized.
type Entry struct {
	ID      string          `json:"id"`
	At      time.Time       `json:"at"`
	Who     string          `json:"who"`     // operator or daemon
	Action  string          `json:"action"`  // such as "edit", "drain", "place", "take over"
	Subject string          `json:"subject"` // such as "accounts", "fabric/f1", "replica desk-3"
	Before  json.RawMessage `json:"before,omitempty"`
	After   json.RawMessage `json:"after,omitempty"`
	Cause   string          `json:"cause"`
}
