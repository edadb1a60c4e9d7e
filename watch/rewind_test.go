package watch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const entryOther = `{"service":"s","address":"127.0.0.1:2","zone":"north","version":"v1","slots":4,"state":"ready","cold_remaining_ms":0,"born":7,"sequence":1}`

// The store comes back from a copy in which an endpoint that drains was ready, one
// that has left was there, a failure domain was in service and an older
// configuration was in force. None of it may be believed, and what the copy lacks is
// kept until it is written again.
func TestOlderCopyIsNotBelieved(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.store.Put("op/config", []byte(configV5))
	f.store.Put("servers/draining", []byte(entryReady))
	f.store.Put("servers/gone", []byte(entryReady))
	older := f.store.Copy()
	f.await(t, "what the copy has", func(s *Snapshot) bool { return len(s.Endpoints) == 2 })
	f.store.Put("op/config", []byte(configV9))
	f.store.Put("op/evacuate/north", []byte("{}"))
	f.store.Put("servers/draining", []byte(entryDrain))
	f.store.Put("servers/gone", []byte(entryDrain))
	f.store.Remove("servers/gone")
	f.store.Put("servers/new", []byte(entryOther))
	f.await(t, "all changes", func(s *Snapshot) bool {
		_, listed := s.Endpoints["new"] // by the last change
		return listed && s.Config != nil && s.Config.Version == 9 && s.Endpoints["draining"].Draining && len(s.Endpoints) == 2 && s.OutOfService["north"]
	})
	f.store.Restore(older)
	f.await(t, "second era", func(s *Snapshot) bool { return s.Era == 2 })
	s := f.watcher.Snapshot()
	is.Equal(s.Config.Version, int64(9))
	is.True(s.OutOfService["north"])
	is.True(s.Endpoints["draining"].Draining)
	_, revived := s.Endpoints["gone"]
	is.True(!revived)
	_, kept := s.Endpoints["new"]
	is.True(kept) // it will write its entry again

	f.store.Put("servers/new", []byte(entryOther))
	f.store.Put("servers/gone", []byte(entryOther)) // another start under the same id
	f.await(t, "endpoints that write again", func(s *Snapshot) bool {
		return len(s.Lapsed) == 0 && s.Endpoints["gone"].State.Started == 7
	})
	f.store.Put("op/config", []byte(configV9)) // operators write again, and not this domain
	f.await(t, "domain back in service", func(s *Snapshot) bool { return !s.OutOfService["north"] })
	f.store.Put("op/evacuate/north", []byte("{}"))
	f.await(t, "domain out of service again", func(s *Snapshot) bool { return s.OutOfService["north"] })
}

// Revisions are given out again after the store came back from an older copy. A
// change that has the revision of one already seen must be noticed.
func TestRevisionsOfAnotherEraAreOthers(t *testing.T) {
	f := newFixture(t)
	f.store.Put("servers/e", []byte(entryReady))
	older := f.store.Copy()
	f.store.Put("servers/e", []byte(entryReady))
	f.store.Put("servers/e", []byte(entryReady))
	f.await(t, "revision 4", func(s *Snapshot) bool { return s.Revision == 4 })
	time.Sleep(quickPause + 100*time.Millisecond) // a watch is pending
	f.store.Restore(older)
	f.store.Put("servers/e", []byte(entryOther))
	f.store.Put("servers/e", []byte(entryOther))
	f.await(t, "entry of the second era", func(s *Snapshot) bool { return s.Endpoints["e"].State.Started == 7 })
}

// Guards against EVAC: a failure domain whose leaving the store had lost was in service again
// 3 s after the store's return, though operators had not begun to write again.
func TestDomainIsKeptOutUntilOperatorsWrite(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.store.Put("op/config", []byte(configV5))
	older := f.store.Copy()
	f.store.Put("op/evacuate/north", []byte("{}"))
	f.await(t, "domain out of service", func(s *Snapshot) bool { return s.OutOfService["north"] })
	f.store.Restore(older)
	f.await(t, "second era", func(s *Snapshot) bool { return s.Era == 2 })
	for end := time.Now().Add(domainGrace + time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		f.store.Put("servers/e", []byte(entryReady))
		is.True(f.watcher.Snapshot().OutOfService["north"])
	}
	is.True(f.watcher.Rewound()) // daemons that start wait for what this one knows
	f.store.Put("op/config", []byte(configV5))
	written := time.Now()
	f.await(t, "domain back in service", func(s *Snapshot) bool { return !s.OutOfService["north"] })
	is.True(time.Since(written) > domainGrace-100*time.Millisecond)
	is.True(!f.watcher.Rewound())
}
