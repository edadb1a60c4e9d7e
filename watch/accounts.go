package watch

import (
	"encoding/json"

	"clementinehead.example/chead/platform"
)

// AccountsRecord is the record in the store that the configuration has had a list of client
// accounts. It is never removed: a version without the list takes the keys of all accounts
// away, and doesn't open the routes.
type AccountsRecord struct {
	Version int64 `json:"version"` // of the configuration that has the list
}

// applyAccounts takes over the record that there have been client accounts. A record that
// can't be decoded tells the same, without the version.
func (w *Watcher) applyAccounts(s *Snapshot, item platform.Item) {
	s.Recorded = !item.Removed
	if item.Removed {
		return
	}
	var record AccountsRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		w.options.Log.Info("cannot decode record of client accounts", "revision", item.Revision, "error", err.Error())
	}
	s.HadAccounts = max(s.HadAccounts, record.Version, 1)
	s.noteAccounts()
}

// noteAccounts remembers that the configuration has a list of client accounts. One without
// the list leaves its routes closed if there was a list before.
func (s *Snapshot) noteAccounts() {
	switch {
	case s.Config == nil:
	case !s.Config.Open:
		s.HadAccounts = max(s.HadAccounts, s.Config.Version)
	case s.HadAccounts > 0:
		closed := *s.Config
		closed.Open = false
		s.Config = &closed
	}
}
