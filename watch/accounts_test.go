package watch

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"clementinehead.example/chead/platform"
)

// Guards against CONFIG and ROUTE: a version that leaves the list of client accounts out,
// after one that had it, opened the routes to taken, unknown and absent keys.
func TestListOfAccountsIsLeftOut(t *testing.T) {
	const left = configV9
	listed := strings.Replace(configV5, `{"version":5`, `{"version":5,"tenants":[{"name":"a","api_keys":["k"]}]`, 1)
	empty := strings.Replace(configV5, `{"version":5`, `{"version":5,"tenants":[]`, 1)
	for _, c := range []struct {
		name   string
		record string // of accounts in the store, empty for none
		first  string // the configuration that is read first, empty for none
		then   string
		open   bool
	}{
		{"there never was a list", "", configV5, left, true},
		{"there was a list", "", listed, left, false},
		{"there was an empty list", "", empty, left, false},
		{"there was a list before this daemon started", `{"version":3}`, "", left, false},
		{"the record can't be decoded", `{"version":"x"}`, "", left, false},
		{"the list is back", "", listed, strings.Replace(listed, `:5`, `:9`, 1), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			if c.record != "" {
				f.store.Put(platform.AccountsKey, []byte(c.record))
			}
			if c.first != "" {
				f.store.Put("op/config", []byte(c.first))
				f.await(t, "the first version", func(s *Snapshot) bool { return s.Config != nil })
			}
			f.store.Put("op/config", []byte(c.then))
			f.await(t, "the next version", func(s *Snapshot) bool { return s.Config != nil && s.Config.Version == 9 })
			is.Equal(f.watcher.Snapshot().Config.Open, c.open)
		})
	}
}

// The record of accounts closes the routes of the configuration that is held already, and
// lasts though the store comes back from a copy without it.
func TestRecordOfAccountsComesLater(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.store.Put("op/config", []byte(configV5))
	f.await(t, "a configuration", func(s *Snapshot) bool { return s.Config != nil })
	is.True(f.watcher.Snapshot().Config.Open)
	older := f.store.Copy()
	f.store.Put(platform.AccountsKey, []byte(`{"version":4}`))
	f.await(t, "the record", func(s *Snapshot) bool { return s.Recorded })
	is.True(!f.watcher.Snapshot().Config.Open)
	f.store.Restore(older)
	f.await(t, "second era", func(s *Snapshot) bool { return s.Era == 2 })
	is.True(!f.watcher.Snapshot().Recorded)
	f.store.Put("op/config", []byte(configV9))
	f.await(t, "the next version", func(s *Snapshot) bool { return s.Config.Version == 9 })
	is.True(!f.watcher.Snapshot().Config.Open)
}
