package watch

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/press"
)

// RelayPath is the path at which a daemon passes the store's changes on to others.
const RelayPath = "/watch"

// Headers of a relay's response. Its body holds the items, as compressed JSON.
const (
	headerEra      = "Watch-Era"
	headerRevision = "Watch-Revision"
	headerFull     = "Watch-Full"   // 1 if the items are all keys rather than changes
	headerAge      = "Watch-Age"    // age of the relay's snapshot, or of a goal, in microseconds
	headerHeld     = "Watch-Held"   // time from the request to the response, in microseconds
	headerOutage   = "Watch-Outage" // time since the relay last found the store in an outage, in microseconds
)

// maxHold is the longest time for which a relay holds a request while it has nothing
// new. A relay that answers nothing for much longer is taken to have failed.
const maxHold = 700 * time.Millisecond

// Relay answers another daemon with the changes after the revision that it holds, as
// soon as there are any or this daemon's snapshot is confirmed by another read of the
// store, at the latest after maxHold. It refuses if its snapshot is older than
// maxRelayedAge, and holds no request beyond that: the other daemon would miss changes
// that it can read itself.
func (w *Watcher) Relay(out http.ResponseWriter, r *http.Request) {
	received := w.options.Boot()
	era, eraErr := strconv.ParseInt(r.URL.Query().Get("era"), 10, 64)
	revision, revisionErr := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if eraErr != nil || revisionErr != nil {
		http.Error(out, "era or revision is no number", http.StatusBadRequest)
		return
	}
	if w.Age() > maxRelayedAge || w.Snapshot().Revision == 0 {
		http.Error(out, "snapshot too old", http.StatusServiceUnavailable)
		return
	}
	if held := w.Snapshot(); held.Era == era && held.Revision <= revision {
		w.awaitRead(r, min(maxHold, maxRelayedAge-w.Age()))
	}
	freshAt := time.Duration(w.freshAt.Load()) // before the changes are taken: they may be newer than it, but not older
	changes, err := w.encoded.after(&w.history, era, revision)
	if err != nil {
		w.options.Log.Error(err, "changes not passed on", "revision", changes.revision)
		out.WriteHeader(http.StatusInternalServerError)
		return
	}
	now := w.options.Boot()
	h := out.Header()
	h.Set(headerEra, strconv.FormatInt(changes.era, 10))
	h.Set(headerRevision, strconv.FormatInt(changes.revision, 10))
	h.Set(headerAge, microseconds(now-freshAt))
	h.Set(headerHeld, microseconds(now-received))
	h.Set(headerOutage, microseconds(now-time.Duration(w.outageAt.Load())))
	if changes.full {
		h.Set(headerFull, "1")
	}
	_, _ = out.Write(changes.body) // fails only if the other daemon has given up
}

// awaitRead waits for the next successful read of the store, for at most limit.
func (w *Watcher) awaitRead(r *http.Request, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-w.nextRead():
	case <-timer.C:
	case <-r.Context().Done():
	}
}

func microseconds(d time.Duration) string { return strconv.FormatInt(d.Microseconds(), 10) }

// encodedItems keeps the encoded changes up to the latest revision, since many daemons ask
// for the same ones.
type encodedItems struct {
	mu     sync.Mutex
	bodies map[bodyKey][]byte
}

// bodyKey identifies the items of a body: the changes of an era between two revisions, or
// all keys, after 0.
type bodyKey struct {
	era, after, revision int64
	full                 bool
}

// encodedChanges are changes with their body, which is empty if there are none.
type encodedChanges struct {
	bodyKey
	body []byte
}

// after returns the changes of a history after a revision of an era. The body is nil if an
// error is returned.
func (e *encodedItems) after(h *history, era, revision int64) (encodedChanges, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := h.key(era, revision)
	if body, known := e.bodies[key]; known {
		return encodedChanges{key, body}, nil
	}
	listing, full := h.after(era, revision)
	found := bodyKey{era: listing.Era, after: revision, revision: listing.Revision, full: full}
	if full {
		found.after = 0
	}
	body, err := encodeItems(listing.Items)
	if err != nil {
		return encodedChanges{found, nil}, err
	}
	for other := range e.bodies {
		if other.era != found.era || other.revision != found.revision {
			delete(e.bodies, other)
		}
	}
	if e.bodies == nil {
		e.bodies = map[bodyKey][]byte{}
	}
	e.bodies[found] = body
	return encodedChanges{found, body}, nil
}

// encodeItems returns items as the body of a relay's response, empty for none.
func encodeItems(items []platform.Item) ([]byte, error) {
	if len(items) == 0 {
		return nil, nil
	}
	data, err := json.Marshal(items)
	if err != nil {
		return nil, err
	}
	return press.Pack(data), nil
}
