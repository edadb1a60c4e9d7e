package stand

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// plainServer is a stand-in for a server of a plain service. It answers each request after a
// time, with a signature and the request's id, and records which requests it ran.
type plainServer struct {
	id, address, zone string
	service           string
	work              time.Duration
	born              int64
	record            *record
	mu                sync.Mutex
	runs              map[string][]time.Time
	paths             *paths
	answers           int
}

// serve serves the server until the process ends.
func (p *plainServer) serve() error {
	p.born = time.Now().UnixMilli()
	p.runs = map[string][]time.Time{}
	listener, err := net.Listen("tcp4", p.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: p, ConnState: func(c net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			p.paths.forget(c)
		}
	}}
	go func() { _ = server.Serve(pathListener{listener, p.paths}) }()
	return nil
}

// entry returns the server's entry in the store.
func (p *plainServer) entry(state string) []byte {
	data, err := json.Marshal(map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": 6,
		"state": state, "cold_remaining_ms": 0, "sequence": 1, "born": p.born,
	})
	if err != nil {
		panic(err)
	}
	return data
}

// ServeHTTP runs a request.
func (p *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	h.Set("X-Request-Id", id)
	if r.URL.Path == "/healthz" {
		h.Set("X-Instance-Id", p.id)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.runs[id] = append(p.runs[id], time.Now())
	p.answers++
	n := p.answers
	p.mu.Unlock()
	p.record.add("run", "request %s at %s, tenant %q", id, p.id, r.Header.Get("X-Tenant"))
	time.Sleep(p.work)
	h.Set("X-Server-Signature", fmt.Sprintf("%s.%x.%d", p.id, p.born, n))
	h.Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "done %s\n", id)
}

// ran returns how often a request ran here.
func (p *plainServer) ran(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.runs[id])
}

// firstRun returns when a request first ran here, and whether it did.
func (p *plainServer) firstRun(id string) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.runs[id]) == 0 {
		return time.Time{}, false
	}
	return p.runs[id][0], true
}
