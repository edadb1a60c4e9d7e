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

// EngineOptions configures an Engine. A zero field takes its default. The
// default of First, Prefill, PerRequest, LoadLag and EventLag is zero.
type EngineOptions struct {
	ID           string        // of the instance
	IgnoreFence  bool          // accept orders and requests with an old fencing number
	Size         int           // maximum number of requests in the batch
	Queue        int           // maximum number of queued requests, once warm
	ColdLimit    int           // requests in progress that a cold engine can take
	LimitStep    int           // completed requests that raise that number by one
	WarmLimit    int           // that number when warm; a warm engine queues the requests above its batch
	Blocks       int           // capacity of the cache, in prefix blocks
	LoseEvery    int           // every LoseEvery-th cache event is lost; 0 for none
	Reorder      int           // every Reorder-th event of a stream is sent after the next one, which is sent twice; 0 for none
	First        time.Duration // to the first token
	Prefill      time.Duration // added to the first token for each block that is not cached
	Token        time.Duration // between tokens
	PerRequest   time.Duration // added between tokens for each other request in the batch
	LoadLag      time.Duration // until a change of load is visible in reports
	EventLag     time.Duration // until a cache event is visible
	AbandonAfter time.Duration // how long a request runs on after its caller disconnects
	RetainAnswer time.Duration // how long a complete answer is retained after that
	Reboot       time.Duration // from a crash to the next start
	Check        time.Duration // between two probes of the replica's other members

	// Load loads the weights for an order and returns when they are loaded. If
	// nil, the weights are loaded at once.
	Load func(ctx context.Context, order engine.Order) error
	// Member returns the report of another member of the replica. If nil, all
	// members are taken to be alive.
	Member func(ctx context.Context, address string) (engine.Report, error)
	// Pace returns the slowness of another member of the replica, as a factor on
	// the time between the tokens of the member with rank 0. If nil, the factor
	// is 1.
	Pace func(address string) float64
	// OnRun is called for each request that begins to run, if not nil.
	OnRun func(id, prompt string)
}

// filled returns the options with the defaults filled in.
func (o EngineOptions) filled() EngineOptions {
	o.Size = or(o.Size, 16)
	o.Queue = or(o.Queue, 64)
	o.ColdLimit = or(o.ColdLimit, 1)
	o.LimitStep = or(o.LimitStep, 4)
	o.WarmLimit = or(o.WarmLimit, 16)
	o.Blocks = or(o.Blocks, 1024)
	o.Token = or(o.Token, 10*time.Millisecond)
	o.AbandonAfter = or(o.AbandonAfter, 2*time.Second)
	o.RetainAnswer = or(o.RetainAnswer, 30*time.Second)
	o.Reboot = or(o.Reboot, time.Second)
	o.Check = or(o.Check, 100*time.Millisecond)
	if o.Pace == nil {
		o.Pace = func(string) float64 { return 1 }
	}
	return o
}

// or returns value, or otherwise if value is zero.
func or[T comparable](value, otherwise T) T {
	var zero T
	if value == zero {
		return otherwise
	}
	return value
}

// Engine is a stand-in for the model engine of one instance. It is an
// http.Handler with the contract of package engine, and serves its fault
// controls under /fake/. The text of an answer depends on the prompt alone: see
// Answer.
//
// A cold engine can take only few requests in progress. One more crashes it,
// which is recorded as a violation. The limit grows with completed requests until
// the engine is warm.
type Engine struct {
	options EngineOptions
	tasks   sync.WaitGroup // requests, loads of weights and probes of members

	mu         sync.Mutex
	process    *process // nil while not running
	boot       uint64
	paused     chan struct{} // closed on Resume; nil while not paused
	slowness   float64       // factor on all token times
	counter    *RunCounter
	violations []Violation
}

// NewEngine starts an idle engine.
func NewEngine(options EngineOptions) *Engine {
	e := &Engine{options: options.filled(), slowness: 1, counter: NewRunCounter()}
	e.Restart()
	return e
}

// ServeHTTP answers one request. It breaks the connection if the engine is not
// running or stops before the answer is complete.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	bufferBody(r)
	if e.serveControl(w, r) {
		return
	}
	p := e.currentProcess()
	if p == nil || !e.awaitResume(r.Context(), p) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(engine.HeaderBoot, strconv.FormatUint(p.boot, 10))
	p.mux.ServeHTTP(w, r)
}

// Runs returns how often the request with an id began to run, over all boots.
func (e *Engine) Runs(id string) int { return e.counter.Count(id) }

// PromptRuns returns how often a request with a prompt began to run, over all
// boots.
func (e *Engine) PromptRuns(prompt string) int { return e.counter.Count(PromptKey(prompt)) }

// PromptKey returns the key under which engines count the runs of a prompt.
func PromptKey(prompt string) string { return fmt.Sprintf("prompt-%016x", xxhash.Sum64String(prompt)) }

func (e *Engine) currentProcess() *process {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process
}

// awaitResume waits while the engine is paused. It returns false if the process
// or ctx ended.
func (e *Engine) awaitResume(ctx context.Context, p *process) bool {
	for {
		e.mu.Lock()
		paused := e.paused
		e.mu.Unlock()
		if paused == nil {
			return ctx.Err() == nil && p.ctx.Err() == nil
		}
		select {
		case <-paused:
		case <-ctx.Done():
			return false
		case <-p.ctx.Done():
			return false
		}
	}
}
