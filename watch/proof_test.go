package watch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/simul"
)

// Times of the store that partly answers, and what the daemons promise.
const (
	changePause = 80 * time.Millisecond
	changesFor  = 2500 * time.Millisecond
	applyBound  = 2 * time.Second // from the last change until it is in force
)

// partly is a store whose answers hold a part of what there is.
type partly struct {
	*simul.Store
	events int           // as simul.Store.SetAnswerLimit
	items  int           // most items of a page, 0 for no limit
	delay  time.Duration // before each answer
	empty  bool          // each second answer to a watch holds nothing
	away   atomic.Bool   // the store turns the daemon away
	calls  atomic.Int64
}

// answer is an answer to a watch or to the read of a page.
type answer struct {
	Events []json.RawMessage `json:"events,omitempty"`
	Items  []json.RawMessage `json:"items,omitempty"`
	More   bool              `json:"has_more,omitempty"`
	AsOf   int64             `json:"as_of"`
}

func (p *partly) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	time.Sleep(p.delay)
	watches := r.URL.Path == "/api/kv-watch"
	switch {
	case p.away.Load():
		out.WriteHeader(http.StatusServiceUnavailable)
	case watches && p.empty || !watches && p.items > 0 && r.Method == http.MethodGet:
		p.serveChanged(out, r, watches)
	default:
		p.Store.ServeHTTP(out, r)
	}
}

// serveChanged serves a call with less in its answer than the store gives.
func (p *partly) serveChanged(out http.ResponseWriter, r *http.Request, watches bool) {
	got := httptest.NewRecorder()
	p.Store.ServeHTTP(got, r)
	for name, values := range got.Header() {
		out.Header()[name] = values
	}
	out.WriteHeader(got.Code)
	var whole answer
	if got.Code != http.StatusOK || json.Unmarshal(got.Body.Bytes(), &whole) != nil {
		return
	}
	switch {
	case !watches && len(whole.Items) > p.items:
		whole.Items, whole.More = whole.Items[:p.items], true
	case watches && p.calls.Add(1)%2 == 1 && len(whole.Events) > 0:
		whole.Events = nil
		_, _ = fmt.Sscan(r.URL.Query().Get("after"), &whole.AsOf)
	}
	_ = json.NewEncoder(out).Encode(whole) // fails only if the daemon has given up
}

// acknowledged holds when the store had acknowledged each version of the configuration.
type acknowledged struct {
	mu    sync.Mutex
	times []time.Time // by version, from 1
}

// put writes the next version of the configuration, which has some size in bytes.
func (a *acknowledged) put(store *simul.Store, size int) {
	a.mu.Lock()
	version := len(a.times) + 1
	a.mu.Unlock()
	filler := bytes.Repeat([]byte("x"), size)
	store.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[],"limits":{},"filler":%q}`, version, filler))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
}

// before returns the newest version that was acknowledged before a time.
func (a *acknowledged) before(at time.Time) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := len(a.times)
	for n > 0 && !a.times[n-1].Before(at) {
		n--
	}
	return int64(n)
}

// checkClaims looks at a view until a time, and fails if it lacks a version of the
// configuration that was acknowledged longer ago than its age.
func checkClaims(t *testing.T, w *Watcher, a *acknowledged, until time.Time) {
	t.Helper()
	for time.Now().Before(until) {
		now := time.Now()
		age := w.Age()
		held := w.Snapshot().ConfigVersion()
		if must := a.before(now.Add(-age - time.Millisecond)); held < must {
			t.Errorf("a view that says it is %v old holds version %d, but %d was acknowledged before", age, held, must)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against CONFIG: a withdrawn key was accepted since an answer that held a part of
// the changes was taken for all of them (review/1 with smaller answers, issue 45).
func TestViewClaimsNoMoreThanItHolds(t *testing.T) {
	const large, small = 154 << 10, 100 // a large one is 205 KB in an answer
	for _, c := range []struct {
		name    string
		store   *partly
		size    int           // of a configuration
		away    time.Duration // from the first change
		compact bool          // the store forgets its history again and again
		copied  bool          // the store comes back from a copy
	}{
		{name: "answers end at 1 MB", store: &partly{events: 4}, size: large, away: 2 * time.Second},
		{name: "answers end at 512 KB", store: &partly{events: 2}, size: large, away: 2 * time.Second},
		{name: "answers end at 256 KB", store: &partly{events: 1}, size: large, away: 2 * time.Second},
		{name: "answers end at 256 KB, no outage", store: &partly{events: 1}, size: large},
		{name: "one change an answer", store: &partly{events: 1}, size: small, away: time.Second},
		{name: "one change an answer, slowly", store: &partly{events: 1, delay: 150 * time.Millisecond}, size: small},
		{name: "empty answers", store: &partly{empty: true}, size: small},
		{name: "pages of one item", store: &partly{events: 1, items: 1}, size: small, away: time.Second},
		{name: "history forgotten", store: &partly{events: 1}, size: small, compact: true},
		{name: "an older copy", store: &partly{events: 1}, size: small, copied: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.store.Store = simul.NewStore()
			c.store.SetAnswerLimit(c.store.events)
			var acks acknowledged
			acks.put(c.store.Store, c.size)
			for i := range 5 {
				c.store.Put(fmt.Sprintf("servers/e%d", i), []byte(entryReady))
			}
			w := runWatcher(t, serveTest(t, c.store.ServeHTTP), nil)
			awaitSnapshot(t, w, "the first version", func(s *Snapshot) bool { return s.ConfigVersion() == 1 })
			// Another daemon reads through it.
			relay := serveTest(t, w.Relay)
			follower := runWatcher(t, serveTest(t, c.store.ServeHTTP), []string{relay})
			awaitSnapshot(t, follower, "the first version", func(s *Snapshot) bool { return s.ConfigVersion() == 1 })
			// A third one reads the store itself, by the revisions that the first one read.
			asker := newWatcher(t, serveTest(t, c.store.ServeHTTP), nil, func() bool { return false })
			index := serveTest(t, w.Index)
			asker.options.Index = func() string { return index }
			runUntilEnd(t, asker)
			awaitSnapshot(t, asker, "the first version", func(s *Snapshot) bool { return s.ConfigVersion() == 1 })
			c.store.away.Store(c.away > 0)
			time.AfterFunc(c.away, func() { c.store.away.Store(false) })
			began := time.Now()
			end := began.Add(changesFor + 2*applyBound)
			var wait sync.WaitGroup
			wait.Go(func() { checkClaims(t, w, &acks, end) })
			wait.Go(func() { checkClaims(t, follower, &acks, end) })
			wait.Go(func() { checkClaims(t, asker, &acks, end) })
			for n := 0; time.Since(began) < changesFor; n++ {
				acks.put(c.store.Store, c.size)
				if c.compact && n%5 == 0 {
					c.store.Compact()
				}
				if c.copied && n == 10 {
					c.store.Restore(c.store.Copy())
				}
				time.Sleep(changePause)
			}
			newest := acks.before(time.Now())
			time.Sleep(applyBound)
			is := is.New(t)
			is.Equal(w.Snapshot().ConfigVersion(), newest)
			is.Equal(follower.Snapshot().ConfigVersion(), newest)
			is.Equal(asker.Snapshot().ConfigVersion(), newest)
			wait.Wait()
		})
	}
}
