//go:build review

package stand

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	workTime  = 15 * time.Millisecond
)

// runner is a stand-in for a runner of the plain service.
type runner struct {
	id      string
	address string
	zone    string
	rec     *record
	put     func(key string, value []byte)
	ticker  *time.Ticker // of heartbeats

	mu       sync.Mutex
	born     int64
	state    string
	sequence int
	runs     map[string]time.Time // when each request reached it, by id
}

// addRunner starts a runner that writes its entry now and at each heartbeat.
func (c *cluster) addRunner(id, zone string) error {
	r := &runner{id: id, zone: zone, rec: c.rec, put: c.store.Put, born: time.Now().UnixMilli(), state: "ready", runs: map[string]time.Time{}}
	address, err := c.serve(r)
	if err != nil {
		return err
	}
	r.address = address
	c.runners = append(c.runners, r)
	r.beat()
	r.ticker = time.NewTicker(heartbeat)
	go func() {
		for range r.ticker.C {
			r.beat()
		}
	}()
	return nil
}

// beat writes the runner's entry.
func (r *runner) beat() {
	r.mu.Lock()
	r.sequence++
	entry, _ := json.Marshal(map[string]any{ // its types can be encoded
		"service": "plain", "address": r.address, "zone": r.zone, "version": "v1", "slots": 6, "state": r.state,
		"cold_remaining_ms": 0, "sequence": r.sequence, "born": r.born,
	})
	r.mu.Unlock()
	r.put("servers/"+r.id, entry)
}

// drain makes the runner report that it drains. The store has acknowledged that when drain
// returns.
func (r *runner) drain() time.Time {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	r.ticker.Reset(heartbeat)
	r.beat()
	return time.Now()
}

// ServeHTTP runs a request, unless another runner is expected.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	reached := time.Now()
	id := q.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", r.id)
	if r.isLeaving() {
		w.Header().Set("Server-Leaving", "1")
	}
	if expected := q.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" { // a health check
		if r.isLeaving() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	r.mu.Lock()
	r.runs[id] = reached
	r.mu.Unlock()
	r.rec.note("runner %s runs %s", r.id, id)
	time.Sleep(workTime)
	body := "done " + id + "\n"
	w.Header().Set("X-Server-Signature", fmt.Sprintf("%s.%x.%s", r.id, r.born, id))
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(w, body)
}

// ranAt returns when a request reached the runner, and whether it did.
func (r *runner) ranAt(id string) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ran := r.runs[id]
	return at, ran
}

// isLeaving reports whether the runner drains.
func (r *runner) isLeaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state == "draining"
}
