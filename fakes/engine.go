package fakes

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"clementinehead.example/chead/engine"
)

// EngineOptions describe an engine. What is zero takes a default, but for the
// times of First, Prefill, Share, Lag and Delay, whose default is none.
type EngineOptions struct {
	ID      string        // instance
	Ignore  bool          // take orders and requests with an old fencing number
	Size    int           // requests in the batch at once
	Queue   int           // requests that wait for the batch, once warm
	Start   int           // requests in progress that it bears at first
	Step    int           // completed requests for one more
	Full    int           // requests in progress that it bears when warm
	Blocks  int           // prefix blocks that the cache holds
	Skip    int           // of how many cache events one is lost, 0 for none
	Jumble  int           // of how many events of a stream one comes after the next, which comes twice; 0 for none
	First   time.Duration // to the first token
	Prefill time.Duration // more to the first token for each block that is not cached
	Token   time.Duration // between tokens
	Share   time.Duration // more between tokens for each other request in the batch
	Lag     time.Duration // of the load report
	Delay   time.Duration // of the cache events
	Keep    time.Duration // how long a request goes on whose caller left
	Retain  time.Duration // how long a whole answer is kept after that
	Reboot  time.Duration // from a crash to the next start
	Check   time.Duration // between two looks at the replica's other members

	// Load returns when the weights that an order asks for are loaded; nil
	// for at once.
	Load func(ctx context.Context, order engine.Order) error
	// Member returns the report of another member of the replica; nil takes
	// all members to be alive.
	Member func(ctx context.Context, address string) (engine.Report, error)
	// Pace returns the slowness of another member of the replica, which the
	// first one's tokens share; nil for the normal.
	Pace func(address string) float64
	// Began is told of each request that begins to run; nil for nobody.
	Began func(id, prompt string)
}

func (o EngineOptions) filled() EngineOptions {
	o.Size = or(o.Size, 16)
	o.Queue = or(o.Queue, 64)
	o.Start = or(o.Start, 1)
	o.Step = or(o.Step, 4)
	o.Full = or(o.Full, 16)
	o.Blocks = or(o.Blocks, 1024)
	o.Token = or(o.Token, 10*time.Millisecond)
	o.Keep = or(o.Keep, 2*time.Second)
	o.Retain = or(o.Retain, 30*time.Second)
	o.Reboot = or(o.Reboot, time.Second)
	o.Check = or(o.Check, 100*time.Millisecond)
	if o.Pace == nil {
		o.Pace = func(string) float64 { return 1 }
	}
	return o
}

func or[T comparable](value, otherwise T) T {
	var zero T
	if value == zero {
		return otherwise
	}
	return value
}

// Engine stands in for the model engine of one instance, as an http.Handler
// with the contract of package engine. Its switches are also served under
// /fake/. The text of its answers follows from the prompt alone: see Answer.
//
// A cold engine bears few requests in progress. More than that crash it, which
// is counted as a violation.
type Engine struct {
	options EngineOptions
	tasks   sync.WaitGroup // requests, loads and looks at members

	mu         sync.Mutex
	life       *life // nil while dead
	boot       uint64
	paused     chan struct{} // closed on Resume; nil while not paused
	slowness   float64       // factor on all times of tokens
	ledger     *Ledger
	violations []Violation
}

// NewEngine starts an idle engine.
func NewEngine(options EngineOptions) *Engine {
	e := &Engine{options: options.filled(), slowness: 1, ledger: NewLedger()}
	e.Restart()
	return e
}

// ServeHTTP answers one request. While the engine is dead, or dies meanwhile,
// the connection breaks.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	buffer(r)
	if e.serveSwitch(w, r) {
		return
	}
	l := e.current()
	if l == nil || !e.awake(r.Context(), l) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(engine.HeaderBoot, strconv.FormatUint(l.boot, 10))
	l.mux.ServeHTTP(w, r)
}

// Runs returns how often a request id began to run, over all boots.
func (e *Engine) Runs(id string) int { return e.ledger.Count(id) }

// PromptRuns returns how often a request with a prompt began to run, over all
// boots.
func (e *Engine) PromptRuns(prompt string) int { return e.ledger.Count(PromptKey(prompt)) }

// PromptKey returns the key under which engines count the runs of a prompt.
func PromptKey(prompt string) string { return fmt.Sprintf("prompt-%016x", xxhash.Sum64String(prompt)) }

func (e *Engine) current() *life {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life
}

// awake waits while the engine is paused. It reports whether the life goes on.
func (e *Engine) awake(ctx context.Context, l *life) bool {
	for {
		e.mu.Lock()
		paused := e.paused
		e.mu.Unlock()
		if paused == nil {
			return ctx.Err() == nil && l.ctx.Err() == nil
		}
		select {
		case <-paused:
		case <-ctx.Done():
			return false
		case <-l.ctx.Done():
			return false
		}
	}
}
