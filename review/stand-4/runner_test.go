//go:build review

package stand

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Heartbeat is the time between two writes of a runner's entry.
const Heartbeat = 1200 * time.Millisecond

// Runner is a stand-in for a plain runner, at one address for all its lives.
type Runner struct {
	Service string
	Zone    string
	Slots   int
	Serve   func(r *Runner, w http.ResponseWriter, q *http.Request) // what it does with a request that it runs

	site     *Site
	name     string
	mu       sync.Mutex
	id       string // of this life
	life     int
	born     int64
	up       bool
	cold     time.Time // until when it is cold
	draining bool
	writes   int
	server   *http.Server
	listener net.Listener
	running  int
	ticker   *time.Ticker // of the entry's writes
}

// AddRunner starts a runner and writes its entry.
func (s *Site) AddRunner(name string, r *Runner) *Runner {
	r.site, r.name = s, name
	r.ticker = time.NewTicker(Heartbeat)
	r.start()
	go r.beat()
	return r
}

// ID returns the runner's id in its present life.
func (r *Runner) ID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id
}

func (r *Runner) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.life++
	r.id = fmt.Sprintf("%s-%d", r.name, r.life)
	r.born = time.Now().UnixMilli()
	r.listener = Listen()
	r.up = true
	r.server = &http.Server{Handler: http.HandlerFunc(r.handle), ReadHeaderTimeout: readHeaderTimeout}
	server, listener := r.server, r.listener
	go func() { _ = server.Serve(listener) }()
	r.publish()
}

// publish writes the entry. The lock must be held.
func (r *Runner) publish() { r.site.Store.Put("servers/"+r.id, r.entry()) }

// entry returns the next entry, with the next sequence. The lock must be held.
func (r *Runner) entry() []byte {
	r.writes++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": r.Service, "address": r.listener.Addr().String(), "zone": r.Zone, "version": "v1", "slots": r.Slots, "state": state,
		"cold_remaining_ms": max(0, time.Until(r.cold).Milliseconds()), "sequence": r.writes, "born": r.born,
	}
	data, err := json.Marshal(entry)
	Check(err)
	return data
}

// BeatLate sends an entry to the store that gets no answer and is written after a time.
func (r *Runner) BeatLate(late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, data := r.id, r.entry()
	r.site.Note("runner %s sends its entry, which gets no answer: %s", id, data)
	time.AfterFunc(late, func() {
		r.site.Store.Put("servers/"+id, data)
		r.site.Note("the store writes it, %v after it was sent", late)
	})
}

// Drain makes the runner report that it is draining. It serves on.
func (r *Runner) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	r.ticker.Reset(Heartbeat)
	data := r.entry()
	r.site.Store.Put("servers/"+r.id, data)
	r.site.Note("the store acknowledged %s", data)
}

// beat writes the entry every Heartbeat while the runner lives.
func (r *Runner) beat() {
	for range r.ticker.C {
		r.mu.Lock()
		if r.up {
			r.publish()
		}
		r.mu.Unlock()
	}
}

// Chill makes the runner cold for a time, and writes its entry at once.
func (r *Runner) Chill(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cold = time.Now().Add(d)
	r.publish()
}

// Exit ends the runner for good; its entry is removed.
func (r *Runner) Exit() {
	r.mu.Lock()
	r.up = false
	id, server := r.id, r.server
	r.mu.Unlock()
	r.site.Note("runner %s exits", id)
	_ = server.Close()
	r.site.Store.RemoveRunner(id)
}

// Crash ends the runner's life at once, with all its connections. It is back after a time,
// under another id and at another port; its old entry is removed after three heartbeats.
func (r *Runner) Crash(down time.Duration) {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	id, server := r.id, r.server
	r.mu.Unlock()
	_ = server.Close()
	r.site.Note("runner %s crashed", id)
	time.AfterFunc(3*Heartbeat, func() { r.site.Store.RemoveRunner(id) })
	time.AfterFunc(down, func() {
		r.start()
		r.site.Note("runner %s is back as %s", id, r.ID())
	})
}

func (r *Runner) handle(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	id, running, cold := r.id, r.running, r.cold
	r.mu.Unlock()
	h := w.Header()
	h.Set("X-Request-Id", q.Header.Get("X-Request-Id"))
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", running, r.Slots))
	if expected := q.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		h.Set("X-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if q.URL.Path == "/healthz" {
		h.Set("X-Instance-Id", id)
		if left := time.Until(cold); left > 0 {
			h.Set("X-Cold-Ms", strconv.FormatInt(left.Milliseconds(), 10))
		}
		return
	}
	r.mu.Lock()
	full := r.running >= r.Slots
	if !full {
		r.running++
	}
	r.mu.Unlock()
	if full {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	r.site.Note("runner %s of %s runs %s: %s %s, tenant %q", id, r.Service, q.Header.Get("X-Request-Id"), q.Method, q.RequestURI, q.Header.Get("X-Tenant"))
	r.Serve(r, w, q)
}

// Sign sets the headers of a success and writes its body.
func (r *Runner) Sign(w http.ResponseWriter, body string) {
	w.Header().Set("X-Server-Signature", "signed."+r.ID())
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body))
}
