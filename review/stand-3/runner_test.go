package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond // between two writes of a runner's entry
	downTime  = 3 * time.Second         // from a crash to the next start
	workTime  = 15 * time.Millisecond   // of a request
)

// runner is a stand-in for a runner of a plain service. A request whose path contains
// poison ends it as it begins to run it, if the runner is not immune.
type runner struct {
	store    *store
	record   *record
	service  string
	zone     string
	address  string
	immune   bool
	noteRuns bool // each run is noted

	mu     sync.Mutex
	lives  int
	id     string
	server *http.Server
	up     bool
	ran    int
}

// poison marks the request that crashes runners.
const poison = "poison"

// start begins a life of the runner, with an id of its own.
func (r *runner) start() error {
	listener, err := net.Listen("tcp4", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lives++
	_, port, _ := net.SplitHostPort(r.address)
	r.id = fmt.Sprintf("i-%s-%d", port, r.lives)
	id := r.id
	r.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.serve(id, w, q) })}
	server := r.server
	r.up = true
	go func() { _ = server.Serve(listener) }()
	go r.register(id, time.Now().UnixMilli())
	return nil
}

// register writes the entry of a life each heartbeat, and removes it after three of
// silence.
func (r *runner) register(id string, born int64) {
	for n := 1; r.isAlive(id); n++ {
		r.store.put("servers/"+id, map[string]any{
			"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 6, "state": "ready",
			"cold_remaining_ms": 0, "sequence": n, "born": born,
		})
		time.Sleep(heartbeat)
	}
	time.Sleep(2 * heartbeat)
	r.store.remove("servers/" + id)
}

// isAlive reports whether the life with an id goes on.
func (r *runner) isAlive(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.up && r.id == id
}

// crash ends the life with an id: its listener and all its connections close. The next one
// starts after downTime.
func (r *runner) crash(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up || r.id != id {
		return
	}
	r.up = false
	_ = r.server.Close()
	time.AfterFunc(downTime, func() {
		if err := r.start(); err != nil {
			r.record.note("runner %s doesn't start: %v", r.address, err)
		}
	})
}

func (r *runner) serve(id string, w http.ResponseWriter, q *http.Request) {
	h := w.Header()
	if q.URL.Path == "/healthz" {
		h.Set("X-Instance-Id", id)
		w.WriteHeader(http.StatusOK)
		return
	}
	request := q.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", request)
	if want := q.Header.Get("X-Expect-Instance"); want != "" && want != id {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request == "" {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	if strings.Contains(q.URL.Path, poison) {
		r.record.arrival(request, id)
		if !r.immune {
			r.record.note("runner %s crashes running %s", id, request)
			r.crash(id)
			panic(http.ErrAbortHandler)
		}
	}
	r.mu.Lock()
	r.ran++
	r.mu.Unlock()
	if r.noteRuns {
		r.record.note("runner %s of %s runs %s: %s %s, tenant %q", id, r.service, request, q.Method, q.RequestURI, q.Header.Get("X-Tenant"))
	}
	if strings.HasPrefix(q.URL.Path, "/export/") {
		r.export(id, w, request)
		return
	}
	time.Sleep(workTime)
	h.Set("X-Server-Signature", "sig."+id+"."+request)
	h.Set("X-Server-Load", "1,0,6")
	_, _ = io.WriteString(w, "done "+request)
}

// runs returns how many requests the runner has run.
func (r *runner) runs() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran
}
