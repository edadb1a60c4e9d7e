package watch

import (
	"testing"

	"github.com/matryer/is"

	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/simul"
	"clementinehead.example/chead/site"
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
	f.await(t, "a newer version", func(s *Snapshot) bool { return s.Config.Version == 9 && s.Rewritten() })

	f.store.Restore(older)
	f.await(t, "second era", func(s *Snapshot) bool { return s.Era == 2 })
	s := f.watcher.Snapshot()
	is.Equal(s.Settled, Settled{})
	is.True(!s.Unused)
	is.True(!s.Rewritten()) // the copy's
	f.store.Put("op/config", []byte(configV5))
	f.store.Put("servers/e", []byte(entryReady))
	f.await(t, "an older version and an endpoint", func(s *Snapshot) bool { return len(s.Endpoints) == 1 })
	is.True(!f.watcher.Snapshot().Rewritten())
	f.store.Put("op/config", []byte(configV9))
	f.await(t, "written again", func(s *Snapshot) bool { return s.Rewritten() })
}

// A copy tells by the record in it which configurations were written before it was made, to
// daemons too that first list the store after operators have written again.
func TestConfigurationWrittenSinceTheRecord(t *testing.T) {
	const settled = `{"era":1,"version":5}`
	for _, c := range []struct {
		name  string
		puts  [][2]string // before the first listing
		since bool
	}{
		{"before the record", [][2]string{{"op/config", configV5}, {platform.SettledKey, settled}}, false},
		{"again after the record", [][2]string{{"op/config", configV5}, {platform.SettledKey, settled}, {"op/config", configV5}}, true},
		{"a newer one after the record", [][2]string{{"op/config", configV5}, {platform.SettledKey, settled}, {"op/config", configV9}}, true},
		{"no record", [][2]string{{"op/config", configV5}, {"op/config", configV9}}, false},
		{"a record that can't be decoded", [][2]string{{"op/config", configV5}, {platform.SettledKey, "["}, {"op/config", configV9}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := simul.NewStore()
			for _, put := range c.puts {
				store.Put(put[0], []byte(put[1]))
			}
			store.Restore(store.Copy())
			watcher := runWatcher(t, serveTest(t, store.ServeHTTP), nil)
			awaitSnapshot(t, watcher, "a listing", func(s *Snapshot) bool { return s.Revision > 0 })
			is.New(t).Equal(watcher.Snapshot().WrittenSinceRecord(), c.since)
		})
	}
}

// A store by which daemons have served isn't unused, though their own records have lapsed.
func TestStoreThatWasUsed(t *testing.T) {
	for _, c := range []struct {
		name, key, value string
		unused           bool
	}{
		{"keeper", platform.KeeperKey, `{}`, false},
		{"keeper of an earlier era", platform.KeeperKey, `{"term":1,"era":0}`, false},
		{"keeper elected before a version was settled", platform.KeeperKey, `{"term":1,"era":1}`, true},
		{"keeper that can't be decoded", platform.KeeperKey, `[`, false},
		{"settled", platform.SettledKey, `{}`, false},
		{"daemon that has just started, as this one", platform.DaemonRecordKey("d0"), `{}`, true},
		{"endpoint", "servers/e", `{}`, true},
		{"configuration", "op/config", `{}`, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := simul.NewStore()
			store.Put(c.key, []byte(c.value))
			watcher := runWatcher(t, serveTest(t, store.ServeHTTP), nil)
			awaitSnapshot(t, watcher, "a listing", func(s *Snapshot) bool { return s.Revision > 0 })
			is.New(t).Equal(watcher.Snapshot().Unused, c.unused)
		})
	}
}

// A daemon that ran on knows by the revision that operators wrote the configuration again
// before it first listed the new era. A revision that it read in any era tells nothing.
func TestConfigurationAtAnotherRevision(t *testing.T) {
	for _, c := range []struct {
		name     string
		version  int64 // held in the new eras
		revision int64
		moved    bool
	}{
		{"the copy's", 5, 2, false},
		{"written again", 5, 3, true},
		{"the copy's, read in the era before the last", 5, 7, false},
		{"a newer version", 6, 3, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := &Snapshot{}
			s.setConfig(&site.Config{Version: 5}, 7)
			is.True(!s.Moved)
			s.ConfigAt = 0 // the next era
			s.setConfig(&site.Config{Version: 5}, 2)
			s.ConfigAt, s.Moved = 0, false
			s.setConfig(&site.Config{Version: c.version}, c.revision)
			is.Equal(s.Moved, c.moved)
		})
	}
}
