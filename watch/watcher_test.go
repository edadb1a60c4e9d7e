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
	var lists, watches atomic.Int64
	store := simul.NewStore()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/api/kv-watch" {
			watches.Add(1)
		} else {
			lists.Add(1)
		}
		store.ServeHTTP(w, r)
	}))
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	watcher := New(Options{
		Store: platform.NewStore(server.Listener.Addr().String(), client.Do), Boot: clock.Boot, Log: logr.Discard(),
		Index: func() string { return "" }, Pause: func() time.Duration { return time.Hour }, Quick: func() bool { return false }, Others: func() bool { return true }, Relays: func() []string { return nil },
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
	is.Equal(lists.Load(), int64(2))   // the revision and all keys
	is.Equal(watches.Load(), int64(1)) // then comes the pause
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

// Guards against CONFIG: an answer that holds a part of the changes counted as all of them.
// The snapshot was taken for fresh, and the rest was read after a pause.
func TestPartOfTheChangesConfirmsNothing(t *testing.T) {
	const first = goalInterval // until the first change
	is := is.New(t)
	var calls []string
	var times []time.Time
	var ages []time.Duration
	var mu sync.Mutex
	var w atomic.Pointer[Watcher]
	value := base64.StdEncoding.EncodeToString([]byte(configV5))
	// The revision that each answer states. From the second of the store itself there are
	// always more changes than an answer holds.
	revisions := []int64{5, 5, 6, 9, 7, 8, 9, 9}
	store := func(out http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		n := len(calls)
		call := r.URL.Path
		if r.URL.Query().Get("path_prefix") != platform.AllKeys {
			call = "revision"
		}
		calls = append(calls, call)
		times = append(times, time.Now())
		ages = append(ages, w.Load().Age())
		revision := revisions[min(n, len(revisions)-1)]
		switch call {
		case "revision":
			fmt.Fprintf(out, `{"items":[],"as_of":%d}`, revision)
		case "/api/kv-range":
			fmt.Fprintf(out, `{"items":[{"key":"op/config","value":%q,"revision":5}],"as_of":%d}`, value, revision)
		default:
			if n == 2 {
				time.Sleep(first)
			}
			fmt.Fprintf(out, `{"events":[{"key":"a","value":"","revision":%d}],"as_of":%d}`, revision, revision)
		}
	}
	w.Store(newWatcher(t, serveTest(t, store), nil, func() bool { return false }))
	runUntilEnd(t, w.Load())
	awaitSnapshot(t, w.Load(), "the second listing", func(s *Snapshot) bool { return s.Revision >= 9 })
	mu.Lock()
	defer mu.Unlock()
	is.Equal(calls[:7], []string{"revision", "/api/kv-range", "/api/kv-watch", "revision", "/api/kv-watch", "/api/kv-watch", "/api/kv-range"})
	is.True(times[6].Sub(times[3]) < quickPause)   // no pause between the parts
	is.True(ages[6] >= first+quickPause)           // no part confirmed the snapshot
	is.True(w.Load().Age() < time.Since(times[2])) // the listing did
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
