package fakes

import (
	"io"
	"net/http"
	"sync"
	"time"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/engine"
)

// HeaderOnce is the header that carries a caller's idempotency key.
const HeaderOnce = "Idempotency-Key"

// Plain stands in for a plain service beside the engines. It answers any call
// with what it was asked, and counts its runs by request id and by idempotency
// key. A call with the path /fake/runs asks for the count of the query's
// "key".
type Plain struct {
	Began func(key string) // told of each key that begins to run; nil for nobody

	ledger *Ledger
	mu     sync.Mutex
	delay  time.Duration
	lose   int // calls that yet run without an answer
}

// NewPlain returns a service that answers at once.
func NewPlain() *Plain { return &Plain{ledger: NewLedger()} }

// Echo is the answer of a plain service.
type Echo struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	Run    int    `json:"run"` // how many calls with the key have begun
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
	p.lose = n
}

// Runs returns how often a request id or an idempotency key began to run.
func (p *Plain) Runs(key string) int { return p.ledger.Count(key) }

// ServeHTTP runs one call.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/fake/runs" {
		p.ledger.ServeHTTP(w, r)
		return
	}
	buffer(r)
	body, _ := io.ReadAll(r.Body)
	key := p.begin(r)
	delay, lost := p.faults()
	if !clock.Sleep(r.Context(), delay) || lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, Echo{Method: r.Method, Path: r.URL.Path, Body: string(body), Run: p.ledger.Count(key)})
}

// begin counts a call under both its names and returns the one that goes
// first, the idempotency key.
func (p *Plain) begin(r *http.Request) string {
	first := ""
	for _, name := range []string{HeaderOnce, engine.HeaderRequest} {
		key := r.Header.Get(name)
		if key == "" || key == first {
			continue
		}
		first = or(first, key)
		p.ledger.Add(key)
		if p.Began != nil {
			p.Began(key)
		}
	}
	return first
}

func (p *Plain) faults() (delay time.Duration, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost = p.lose > 0
	if lost {
		p.lose--
	}
	return p.delay, lost
}
