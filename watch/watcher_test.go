package watch

import (
	"context"
	"encoding/base64"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/simul"
)

const (
	configV5   = `{"version":5,"routes":[],"services":[],"limits":{}}`
	configV9   = `{"version":9,"routes":[],"services":[],"limits":{}}`
	configV7   = `{"version":7,"routes":[],"services":[],"limits":{}}`
	entryReady = `{"service":"s","address":"127.0.0.1:1","zone":"north","version":"v1","slots":4,"state":"ready","cold_remaining_ms":0,"born":1,"sequence":1}`
	entryDrain = `{"service":"s","address":"127.0.0.1:1","zone":"north","version":"v1","slots":4,"state":"draining","cold_remaining_ms":0,"born":1,"sequence":2}`
)

type fixture struct {
	store   *simul.Store
	watcher *Watcher
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{store: simul.NewStore()}
	f.watcher = runWatcher(t, serveTest(t, f.store.ServeHTTP), nil)
	return f
}

func (f *fixture) await(t *testing.T, what string, condition func(*Snapshot) bool) {
	t.Helper()
	awaitSnapshot(t, f.watcher, what, condition)
}

// Changes of the configuration, of endpoints and of failure domains appear in the
// snapshot. Older or invalid configurations do not.
func TestSnapshotFollowsChanges(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.store.Put("op/config", []byte(configV5))
	f.store.Put("servers/e", []byte(entryReady))
	f.await(t, "configuration version 5", func(s *Snapshot) bool { return s.Config != nil && s.Config.Version == 5 && len(s.Endpoints) == 1 })
	f.store.Put("op/config", []byte(configV9))
	f.store.Put("op/evacuate/north", []byte("{}"))
	f.await(t, "configuration version 9", func(s *Snapshot) bool { return s.Config.Version == 9 && s.OutOfService["north"] })
	f.store.Put("op/config", []byte(configV7))
	f.store.Put("op/config", []byte("{"))
	f.store.Remove("op/evacuate/north")
	f.store.Put("servers/e", []byte(entryDrain))
	f.await(t, "draining endpoint", func(s *Snapshot) bool { return s.Endpoints["e"].Draining && !s.OutOfService["north"] })
	is.Equal(f.watcher.Snapshot().Config.Version, int64(9)) // neither an older version nor an invalid one is used
	f.store.Put("servers/e", []byte(`{"service":3}`))
	f.await(t, "an endpoint whose entry is invalid is dropped", func(s *Snapshot) bool { return len(s.Endpoints) == 0 })
}

// The store compacts a removal before a watch has returned it. The snapshot is listed
// again, without the removed key.
func TestListsAfterCompaction(t *testing.T) {
	f := newFixture(t)
	f.store.Put("servers/a", []byte(entryReady))
	f.await(t, "a", func(s *Snapshot) bool { return len(s.Endpoints) == 1 })
	f.store.Remove("servers/a")
	f.store.Put("servers/b", []byte(entryReady))
	f.store.Compact()
	f.await(t, "b alone", func(s *Snapshot) bool {
		_, b := s.Endpoints["b"]
		return b && len(s.Endpoints) == 1
	})
}

// An endpoint whose entry is removed during an outage of the store stays in the
// snapshot for the grace period and is then dropped.
func TestLapsedEndpointIsKeptForGrace(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.store.Put("servers/e", []byte(entryReady))
	f.await(t, "e", func(s *Snapshot) bool { return len(s.Endpoints) == 1 })
	f.store.SetDown(true)
	time.Sleep(2 * answerMargin)
	f.store.Remove("servers/e")
	f.store.SetDown(false)
	f.await(t, "lapsed endpoint", func(s *Snapshot) bool { return len(s.Lapsed) == 1 })
	is.Equal(len(f.watcher.Snapshot().Endpoints), 1)
	f.await(t, "endpoint dropped", func(s *Snapshot) bool { return len(s.Endpoints) == 0 })
}

// The store turns a daemon away while it serves the others, so that no entry can have
// lapsed. An endpoint that leaves meanwhile must not be kept for the grace period: with the
// time until the daemon hears of it that is longer than the endpoint may be used.
func TestEndpointThatLeftIsKeptSinceACallFailed(t *testing.T) {
	is := is.New(t)
	store := simul.NewStore()
	w := runWatcherBeside(t, serveTest(t, store.ServeHTTP), nil, func() bool { return true })
	store.Put("servers/e", []byte(entryReady))
	awaitSnapshot(t, w, "e", func(s *Snapshot) bool { return len(s.Endpoints) == 1 })
	store.SetDown(true)
	time.Sleep(2 * answerMargin)
	store.Remove("servers/e")
	store.SetDown(false)
	awaitSnapshot(t, w, "the removal", func(s *Snapshot) bool { return len(s.Lapsed) == 1 || len(s.Endpoints) == 0 })
	is.Equal(len(w.Snapshot().Endpoints), 0)
}

// While the store is reachable, the age of the snapshot stays bounded whenever
// changes arrive; otherwise the daemon would stop accepting callers.
func TestAgeIsBounded(t *testing.T) {
	f := newFixture(t)
	f.store.Put("op/config", []byte(configV5))
	f.await(t, "configuration", func(s *Snapshot) bool { return s.Config != nil })
	maxSeen := time.Duration(0)
	for i := range 160 {
		if i%31 == 0 {
			f.store.Put("servers/e", []byte(entryReady))
		}
		time.Sleep(50 * time.Millisecond)
		maxSeen = max(maxSeen, f.watcher.Age())
	}
	if maxSeen > maxAge+answerMargin/2 {
		t.Errorf("a snapshot was %v old", maxSeen)
	}
}

// With constant changes, the daemon watches once per pause. The pause used to run
// under the context of the watch before it and so ended at that call's timeout,
// 2.2 s after the call began.
func TestPauseOutlastsCallTimeout(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	store := simul.NewStore()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		store.ServeHTTP(w, r)
	}))
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	watcher := New(Options{
		Store: platform.NewStore(server.Listener.Addr().String(), client.Do), Boot: clock.Boot, Log: logr.Discard(),
		Pause: func() time.Duration { return time.Hour }, Quick: func() bool { return false }, Others: func() bool { return true }, Relays: func() []string { return nil },
	})
	ctx, stop := context.WithTimeout(t.Context(), maxWait+answerMargin+time.Second)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = watcher.Run(ctx)
	}()
	for ctx.Err() == nil {
		store.Put("servers/e", []byte(entryReady))
		time.Sleep(20 * time.Millisecond)
	}
	<-done
	is.Equal(calls.Load(), int64(2)) // one list and one watch
}

// A daemon that was killed and starts again takes the place of its earlier start, whose
// lease has not ended. It used to be counted twice, and budgets shared among too many.
func TestRestartedDaemonIsListedOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.store.Put("chead/daemons/north-1", []byte(`{"id":"north-1.a","domain":"north"}`))
	f.await(t, "first start", func(s *Snapshot) bool { return s.Daemons["north-1.a"].Domain == "north" })
	f.store.Put("chead/daemons/north-1", []byte(`{"id":"north-1.b","domain":"north"}`))
	f.await(t, "second start", func(s *Snapshot) bool { return s.Daemons["north-1.b"].Domain == "north" })
	is.Equal(len(f.watcher.Snapshot().Daemons), 1)
	f.store.Remove("chead/daemons/north-1")
	f.await(t, "removal", func(s *Snapshot) bool { return len(s.Daemons) == 0 })
}

// Guards against CONFIG: an answer that may hold a part of the changes counted as all of
// them. The snapshot was taken for fresh, and the rest was read after a pause.
func TestPartOfTheChangesConfirmsNothing(t *testing.T) {
	is := is.New(t)
	var calls []string
	var times []time.Time
	var ages []time.Duration
	var mu sync.Mutex
	var w atomic.Pointer[Watcher]
	large := base64.StdEncoding.EncodeToString(make([]byte, partBytes))
	store := func(out http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		n := len(calls)
		calls = append(calls, r.URL.Path)
		times = append(times, time.Now())
		if held := w.Load(); held != nil {
			ages = append(ages, held.Age())
		} else {
			ages = append(ages, 0)
		}
		switch {
		case r.URL.Path == "/api/kv-range":
			fmt.Fprintf(out, `{"items":[{"key":"op/config","value":%q,"revision":%d}],"as_of":%d}`, base64.StdEncoding.EncodeToString([]byte(configV5)), 5+n, 5+n)
		case n == 1:
			time.Sleep(300 * time.Millisecond)
			fmt.Fprintf(out, `{"events":[{"key":"a","value":%q,"revision":6}],"as_of":6}`, large)
		case n == 2:
			fmt.Fprintf(out, `{"events":[{"key":"a","value":%q,"revision":7}],"as_of":7}`, large)
		default:
			time.Sleep(100 * time.Millisecond)
			fmt.Fprintf(out, `{"events":[],"as_of":%d}`, 5+n)
		}
	}
	w.Store(runWatcher(t, serveTest(t, store), nil))
	awaitSnapshot(t, w.Load(), "the second listing", func(s *Snapshot) bool { return s.Revision >= 8 })
	mu.Lock()
	defer mu.Unlock()
	is.Equal(calls[:4], []string{"/api/kv-range", "/api/kv-watch", "/api/kv-watch", "/api/kv-range"})
	is.True(times[3].Sub(times[1]) < 300*time.Millisecond+quickPause) // no pause
	is.True(ages[3] >= 300*time.Millisecond)                          // neither part confirmed the snapshot
}

// An answer too large to be read is not asked for again and again.
func TestAnswerTooLargeToBeRead(t *testing.T) {
	f := simul.NewStore()
	var watches atomic.Int64
	store := func(out http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/api/kv-watch" && watches.Add(1) == 1 {
			f.Put("op/config", []byte(configV9))
			_, _ = out.Write([]byte(`{"events":[{"key":"a","value":"` + strings.Repeat("A", 9<<20) + `","revision":6}],"as_of":6}`))
			return
		}
		f.ServeHTTP(out, r)
	}
	f.Put("op/config", []byte(configV5))
	w := runWatcher(t, serveTest(t, store), nil)
	awaitSnapshot(t, w, "configuration version 9", func(s *Snapshot) bool { return s.Config != nil && s.Config.Version == 9 })
}
