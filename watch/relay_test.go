package watch

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/simul"
)

// followers is a store with a watcher that follows a relay, and counts the calls of
// the follower to the store.
type followers struct {
	store    *simul.Store
	relay    *Watcher
	relayOff atomic.Bool // the relay can't reach the store
	serve    atomic.Value
	follower *Watcher
	calls    atomic.Int64
}

// newFollowers starts a relay and a watcher that follows it.
func newFollowers(t *testing.T) *followers {
	t.Helper()
	f := &followers{store: simul.NewStore()}
	counted := serveTest(t, func(w http.ResponseWriter, r *http.Request) {
		f.calls.Add(1)
		f.store.ServeHTTP(w, r)
	})
	cut := serveTest(t, func(w http.ResponseWriter, r *http.Request) {
		if f.relayOff.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		f.store.ServeHTTP(w, r)
	})
	f.relay = runWatcher(t, cut, nil)
	f.serve.Store(http.HandlerFunc(f.relay.Relay))
	relay := serveTest(t, func(w http.ResponseWriter, r *http.Request) { f.serve.Load().(http.HandlerFunc)(w, r) })
	f.store.Put("servers/first", []byte(entryReady))
	awaitSnapshot(t, f.relay, "the relay's listing", func(s *Snapshot) bool { return len(s.Endpoints) == 1 })
	f.follower = runWatcher(t, counted, []string{relay})
	return f
}

// serveTest serves HTTP until the test ends and returns the address.
func serveTest(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

func runWatcher(t *testing.T, store string, relays []string) *Watcher {
	t.Helper()
	return runWatcherBeside(t, store, relays, func() bool { return false })
}

// runWatcherBeside is like runWatcher, with the answer to whether other daemons reach the
// store.
func runWatcherBeside(t *testing.T, store string, relays []string, others func() bool) *Watcher {
	t.Helper()
	w := newWatcher(t, store, relays, others)
	runUntilEnd(t, w)
	return w
}

// newWatcher returns a watcher that doesn't run yet.
func newWatcher(t *testing.T, store string, relays []string, others func() bool) *Watcher {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	return New(Options{
		Store: platform.NewStore(store, client.Do), Do: client.Do, Relays: func() []string { return relays }, Boot: clock.Boot, Log: logr.Discard(),
		Index: func() string { return "" }, Pause: func() time.Duration { return time.Second }, Quick: func() bool { return true }, Others: others,
	})
}

// runUntilEnd runs a watcher until the test ends.
func runUntilEnd(t *testing.T, w *Watcher) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = w.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
}

func awaitSnapshot(t *testing.T, w *Watcher, what string, condition func(*Snapshot) bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition(w.Snapshot()) {
			return
		}
	}
	t.Fatal("snapshot never showed: " + what)
}

func (f *followers) put(n int) { f.store.Put(fmt.Sprintf("servers/e%d", n), []byte(entryReady)) }

// maxAgeOver returns the greatest age of the follower's snapshot within a time, in which
// the store changes ten times a second.
func (f *followers) maxAgeOver(d time.Duration) time.Duration {
	oldest := time.Duration(0)
	for end, n := time.Now().Add(d), 0; time.Now().Before(end); n++ {
		f.put(n % 7)
		time.Sleep(100 * time.Millisecond)
		oldest = max(oldest, f.follower.Age())
	}
	return oldest
}

// A daemon that follows a relay has its changes, calls the store not at all, and its
// snapshot stays as recent as one that is read from the store.
func TestFollowerSparesTheStore(t *testing.T) {
	is := is.New(t)
	f := newFollowers(t)
	awaitSnapshot(t, f.follower, "first", func(s *Snapshot) bool { return len(s.Endpoints) == 1 })
	oldest := f.maxAgeOver(4 * time.Second)
	is.True(oldest < maxAge)
	f.store.Remove("servers/first")
	awaitSnapshot(t, f.follower, "a removal", func(s *Snapshot) bool { _, there := s.Endpoints["first"]; return !there && len(s.Endpoints) == 7 })
	is.Equal(f.calls.Load(), int64(0))
}

// The relay answers nothing any more, as after a freeze. The daemon must read the store
// itself long before its snapshot is too old to serve by.
func TestFollowerLeavesASilentRelay(t *testing.T) {
	is := is.New(t)
	f := newFollowers(t)
	awaitSnapshot(t, f.follower, "first", func(s *Snapshot) bool { return len(s.Endpoints) == 1 })
	f.serve.Store(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	began := time.Now()
	f.put(1)
	awaitSnapshot(t, f.follower, "a change", func(s *Snapshot) bool { return len(s.Endpoints) == 2 })
	is.True(time.Since(began) < followTimeout+500*time.Millisecond)
	is.True(f.maxAgeOver(4*time.Second) < maxAge+followTimeout)
}

// The relay is cut off from the store and the daemon is not.
func TestFollowerLeavesARelayWithoutStore(t *testing.T) {
	is := is.New(t)
	f := newFollowers(t)
	awaitSnapshot(t, f.follower, "first", func(s *Snapshot) bool { return len(s.Endpoints) == 1 })
	f.relayOff.Store(true)
	is.True(f.maxAgeOver(6*time.Second) < maxAge+followTimeout)
	f.relayOff.Store(false)
	time.Sleep(directPause)
	before := f.calls.Load()
	f.maxAgeOver(2 * time.Second)
	is.Equal(f.calls.Load(), before) // it follows the relay again
}

// While the store is down, the daemons together must not press it, and notice its
// return soon.
func TestFollowerDuringOutage(t *testing.T) {
	is := is.New(t)
	f := newFollowers(t)
	awaitSnapshot(t, f.follower, "first", func(s *Snapshot) bool { return len(s.Endpoints) == 1 })
	f.store.SetDown(true)
	time.Sleep(6 * time.Second)
	is.True(f.calls.Load() <= int64(6*time.Second/directPause))
	f.put(1)
	f.store.SetDown(false)
	began := time.Now()
	awaitSnapshot(t, f.follower, "a change", func(s *Snapshot) bool { return len(s.Endpoints) == 2 })
	is.True(time.Since(began) < 3*retryPause)
}

// A relay that says something else than the store did changes nothing: an older
// revision, an older era, bytes that are no response.
func TestBadRelayIsIgnored(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"older revision": relayAnswer("1", "1", "1", ""),
		"older era":      relayAnswer("0", "99", "1", ""),
		"no number":      relayAnswer("x", "99", "1", ""),
		"negative age":   relayAnswer("1", "99", "-5000000", ""),
		"no items":       relayAnswer("1", "99", "1", "not compressed"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFollowers(t)
			awaitSnapshot(t, f.follower, "first", func(s *Snapshot) bool { return len(s.Endpoints) == 1 })
			f.put(1)
			awaitSnapshot(t, f.follower, "second", func(s *Snapshot) bool { return len(s.Endpoints) == 2 })
			held := f.follower.Snapshot()
			f.serve.Store(answer)
			time.Sleep(300 * time.Millisecond)
			is.Equal(f.follower.Snapshot().Revision, held.Revision)
			f.put(2)
			awaitSnapshot(t, f.follower, "third", func(s *Snapshot) bool { return len(s.Endpoints) == 3 })
		})
	}
}

// relayAnswer returns a handler that answers like a relay.
func relayAnswer(era, revision, age, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(10 * time.Millisecond)
		for name, value := range map[string]string{headerEra: era, headerRevision: revision, headerAge: age, headerHeld: "0", headerOutage: "3600000000"} {
			w.Header().Set(name, value)
		}
		_, _ = w.Write([]byte(body))
	}
}

// A daemon that follows a relay learns of another era from it.
func TestFollowerSeesAnotherEra(t *testing.T) {
	is := is.New(t)
	f := newFollowers(t)
	older := f.store.Copy()
	f.put(1)
	awaitSnapshot(t, f.follower, "second", func(s *Snapshot) bool { return len(s.Endpoints) == 2 })
	f.store.Restore(older)
	f.put(2)
	awaitSnapshot(t, f.follower, "second era", func(s *Snapshot) bool { _, there := s.Endpoints["e2"]; return s.Era == 2 && there })
	is.Equal(f.calls.Load(), int64(0))
}

// The changes that are kept are bounded. A daemon that lacks older ones gets all keys,
// others the newest change of each key.
func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	h := &history{}
	h.reset(platform.Listing{Era: 1, Revision: 10, Items: []platform.Item{{Key: "a", Revision: 3}}})
	item := func(key string, revision int64, size int) platform.Item {
		return platform.Item{Key: key, Revision: revision, Value: make([]byte, size)}
	}
	h.add(platform.Listing{Era: 1, Revision: 12, Items: []platform.Item{item("b", 11, 5), item("b", 12, 6)}})
	got, full := h.after(1, 10)
	is.True(!full)
	is.Equal(got.Items, []platform.Item{item("b", 12, 6)})
	got, full = h.after(2, 12)
	is.True(full) // of another era
	is.Equal(len(got.Items), 2)
	h.add(platform.Listing{Era: 1, Revision: 13, Items: []platform.Item{item("c", 13, maxHistoryBytes-4)}})
	_, full = h.after(1, 11)
	is.True(full) // no longer kept
	got, full = h.after(1, 12)
	is.True(!full)
	is.Equal(len(got.Items), 1)
	h.add(platform.Listing{Era: 1, Revision: 14, Items: []platform.Item{{Key: "b", Revision: 14, Removed: true}}})
	got, _ = h.after(1, 13)
	is.True(got.Items[0].Removed)
	got, _ = h.after(0, 0)
	is.Equal(len(got.Items), 2) // a and c
}

// The relay loses the store and a change is made at once. The daemon, which reaches the
// store, must have the change within MinRelayedApply (CONFIG broken at paddockline-nz
// hunt-80c9-7 and lumiar-salao scale-2, seed 606954437143: 2.2 s where 2 s are allowed).
func TestChangeIsInForceThoughTheRelayLostTheStore(t *testing.T) {
	is := is.New(t)
	f := newFollowers(t)
	awaitSnapshot(t, f.follower, "first", func(s *Snapshot) bool { return len(s.Endpoints) == 1 })
	for n := range 3 {
		f.relayOff.Store(true)
		f.put(n)
		began := time.Now()
		awaitSnapshot(t, f.follower, "a change", func(s *Snapshot) bool { return len(s.Endpoints) == 2+n })
		is.True(time.Since(began) < MinRelayedApply)
		f.relayOff.Store(false)
		time.Sleep(2 * time.Second)
	}
}
