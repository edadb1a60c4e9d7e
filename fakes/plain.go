package fakes

import (
	"io"
	"net/http"
	"sync"
	"time"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/engine"
)

// HeaderIdempotencyKey is the header with a caller's idempotency key.
const HeaderIdempotencyKey = "Idempotency-Key"

// Plain is a stand-in for a service without model engines. It echoes every call,
// and counts runs by request id and by idempotency key. A call with the path
// /fake/runs returns the count for the query's "key".
type Plain struct {
	OnRun func(key string) // called for each key that begins to run, if not nil

	counter       *RunCounter
	mu            sync.Mutex
	delay         time.Duration
	answersToLose int // number of calls that still run without an answer
}

// NewPlain returns a service that answers without delay.
func NewPlain() *Plain { return &Plain{counter: NewRunCounter()} }

// Echo is the answer of a plain service.
type Echo struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	Run    int    `json:"run"` // number of calls with the key that have begun
}

// Delay sets how long each call takes.
func (p *Plain) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// LoseAnswers makes the next n calls run without an answer.
func (p *Plain) LoseAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answersToLose = n
}

// Runs returns how often a request id or an idempotency key began to run.
func (p *Plain) Runs(key string) int { return p.counter.Count(key) }

// ServeHTTP runs one call.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/fake/runs" {
		p.counter.ServeHTTP(w, r)
		return
	}
	bufferBody(r)
	body, _ := io.ReadAll(r.Body)
	key := p.countRun(r)
	delay, lost := p.nextFaults()
	if !clock.Sleep(r.Context(), delay) || lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, Echo{Method: r.Method, Path: r.URL.Path, Body: string(body), Run: p.counter.Count(key)})
}

// countRun counts a call under its idempotency key and its request id. It
// returns the idempotency key, or the request id if there is none.
func (p *Plain) countRun(r *http.Request) string {
	first := ""
	for _, name := range []string{HeaderIdempotencyKey, engine.HeaderRequest} {
		key := r.Header.Get(name)
		if key == "" || key == first {
			continue
		}
		first = or(first, key)
		p.counter.Add(key)
		if p.OnRun != nil {
			p.OnRun(key)
		}
	}
	return first
}

// nextFaults returns the faults of the next call.
func (p *Plain) nextFaults() (delay time.Duration, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost = p.answersToLose > 0
	if lost {
		p.answersToLose--
	}
	return p.delay, lost
}
