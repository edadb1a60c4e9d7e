package watch

import (
	"testing"

	"github.com/matryer/is"

	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/simul"
)

// What a snapshot tells of whether its configuration is the newest: whether a daemon had
// served by the store, which version is settled, and whether the operators wrote it again.
func TestWhatShowsTheNewestVersion(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.store.Put("op/config", []byte(configV5))
	f.await(t, "a configuration", func(s *Snapshot) bool { return s.Config != nil })
	is.True(f.watcher.Snapshot().Unused)
	older := f.store.Copy()

	f.store.Put(platform.SettledKey, []byte(`{"era":1,"version":5}`))
	f.await(t, "the settled version", func(s *Snapshot) bool { return s.Settled.Era == 1 && s.Settled.Version == 5 })
	is.True(f.watcher.Snapshot().Settled.Revision > 0)
	f.store.Put(platform.SettledKey, []byte(`{"era":"x"}`))
	f.await(t, "a record that can't be decoded", func(s *Snapshot) bool { return s.Settled.Era == 0 && s.Settled.Revision > 0 })
	f.store.Put("op/config", []byte(configV9))
	f.await(t, "a newer version", func(s *Snapshot) bool { return s.Config.Version == 9 && s.Rewritten })

	f.store.Restore(older)
	f.await(t, "second era", func(s *Snapshot) bool { return s.Era == 2 })
	s := f.watcher.Snapshot()
	is.Equal(s.Settled, Settled{})
	is.True(!s.Unused)
	is.True(!s.Rewritten) // the copy's
	f.store.Put("op/config", []byte(configV5))
	f.store.Put("servers/e", []byte(entryReady))
	f.await(t, "an older version and an endpoint", func(s *Snapshot) bool { return len(s.Endpoints) == 1 })
	is.True(!f.watcher.Snapshot().Rewritten)
	f.store.Put("op/config", []byte(configV9))
	f.await(t, "written again", func(s *Snapshot) bool { return s.Rewritten })
}

// A store by which daemons have served isn't unused, though their own records have lapsed.
func TestStoreThatWasUsed(t *testing.T) {
	for _, c := range []struct {
		key    string
		unused bool
	}{
		{platform.KeeperKey, false},
		{platform.SettledKey, false},
		{platform.DaemonRecordKey("d0"), true}, // it has just started, as this one
		{"servers/e", true},
		{"op/config", true},
	} {
		t.Run(c.key, func(t *testing.T) {
			store := simul.NewStore()
			store.Put(c.key, []byte(`{}`))
			watcher := runWatcher(t, serveTest(t, store.ServeHTTP), nil)
			awaitSnapshot(t, watcher, "a listing", func(s *Snapshot) bool { return s.Revision > 0 })
			is.New(t).Equal(watcher.Snapshot().Unused, c.unused)
		})
	}
}
