package watch

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/simul"
)

// revisionReads serves a store and counts the reads of its revision.
func revisionReads(store *simul.Store, n *atomic.Int64) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/api/kv-range" && r.URL.Query().Get("path_prefix") != platform.AllKeys {
			n.Add(1)
		}
		store.ServeHTTP(out, r)
	}
}

// A daemon takes the revision from another one, which read it for both, and reads it itself
// where that one fails: the snapshot stays as recent.
func TestRevisionIsReadForOthers(t *testing.T) {
	for _, c := range []struct {
		name  string
		index http.HandlerFunc // in place of the other daemon's
		reads bool             // whether the daemon has to read the revision itself
	}{
		{name: "sound"},
		{name: "fails", reads: true, index: func(out http.ResponseWriter, _ *http.Request) { out.WriteHeader(http.StatusServiceUnavailable) }},
		{name: "of another build", reads: true, index: http.NotFound},
		{name: "doesn't answer", reads: true, index: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }},
		{name: "no numbers", reads: true, index: func(http.ResponseWriter, *http.Request) {}},
		{name: "no revision", reads: true, index: indexOf(1, 0, 0)},
		{name: "too old", reads: true, index: indexOf(1, 2, maxIndexAge)},
		{name: "of an older era", reads: true, index: indexOf(0, 2, 0)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			store := simul.NewStore()
			store.Put("servers/e", []byte(entryReady))
			other := runWatcher(t, serveTest(t, store.ServeHTTP), nil)
			awaitSnapshot(t, other, "e", func(s *Snapshot) bool { return len(s.Endpoints) == 1 })
			if c.index == nil {
				c.index = other.Index
			}
			var reads atomic.Int64
			w := newWatcher(t, serveTest(t, revisionReads(store, &reads)), nil, func() bool { return false })
			address := serveTest(t, c.index)
			w.options.Index = func() string { return address }
			runUntilEnd(t, w)
			awaitSnapshot(t, w, "e", func(s *Snapshot) bool { return len(s.Endpoints) == 1 })
			began := reads.Load()
			oldest := time.Duration(0)
			for i := range 60 {
				store.Put(fmt.Sprintf("servers/e%d", i%7), []byte(entryReady))
				time.Sleep(50 * time.Millisecond)
				oldest = max(oldest, w.Age())
			}
			is.True(oldest < maxAge)
			if c.reads {
				is.True(reads.Load() > began)
			} else {
				is.Equal(reads.Load(), began)
			}
		})
	}
}

// A daemon that the store turned away, while another one read the revision for it, goes on
// where it was: what it missed isn't taken for lost, which cost all daemons a listing.
func TestDaemonTurnedAwayGoesOnWithoutAListing(t *testing.T) {
	is := is.New(t)
	store := simul.NewStore()
	store.Put("servers/e", []byte(entryReady))
	other := runWatcher(t, serveTest(t, store.ServeHTTP), nil)
	var away atomic.Bool
	var listings atomic.Int64
	w := newWatcher(t, serveTest(t, func(out http.ResponseWriter, r *http.Request) {
		if away.Load() {
			out.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.URL.Path == "/api/kv-range" && r.URL.Query().Get("path_prefix") == platform.AllKeys {
			listings.Add(1)
		}
		store.ServeHTTP(out, r)
	}), nil, func() bool { return true })
	address := serveTest(t, other.Index)
	w.options.Index = func() string { return address }
	runUntilEnd(t, w)
	awaitSnapshot(t, w, "e", func(s *Snapshot) bool { return len(s.Endpoints) == 1 })
	for i := range 40 {
		away.Store(i >= 10 && i < 30)
		store.Put(fmt.Sprintf("servers/e%d", i), []byte(entryReady))
		time.Sleep(50 * time.Millisecond)
	}
	awaitSnapshot(t, w, "all changes", func(s *Snapshot) bool { return len(s.Endpoints) == 41 })
	is.Equal(listings.Load(), int64(1))
}

// indexOf returns an answer with a goal.
func indexOf(era, revision int64, age time.Duration) http.HandlerFunc {
	return func(out http.ResponseWriter, _ *http.Request) {
		out.Header().Set(headerEra, fmt.Sprint(era))
		out.Header().Set(headerRevision, fmt.Sprint(revision))
		out.Header().Set(headerAge, microseconds(age))
	}
}
