package fakes

import (
	"context"
	"net/http"
	"sync"
	"time"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/engine"
)

// process is the state of an engine between two restarts. A restart loses all of
// it.
type process struct {
	engine *Engine
	boot   uint64
	ctx    context.Context // ends when the process stops
	stop   context.CancelFunc
	mux    *http.ServeMux

	mu          sync.Mutex
	order       engine.Order
	jobs        map[string]*job
	batch       batch
	completions uint64 // number of completed requests
	load        delayed[load]
	cache       *cache

	loaded     bool // the weights that the order asks for are loaded
	stopLoad   context.CancelFunc
	missing    string        // address of a member that does not answer, or empty
	allPresent chan struct{} // closed while all members answer; replaced when one is missing
	stopChecks context.CancelFunc
}

// load is the part of a report that lags.
type load struct {
	running, waiting int
	completed        uint64
	used             float64
}

func newProcess(e *Engine, boot uint64) *process {
	ctx, end := context.WithCancel(context.Background())
	p := &process{
		engine:     e,
		boot:       boot,
		ctx:        ctx,
		stop:       end,
		mux:        http.NewServeMux(),
		jobs:       map[string]*job{},
		batch:      batch{size: e.options.Size},
		cache:      newCache(e.options.Blocks, e.options.LoseEvery, e.options.EventLag),
		allPresent: make(chan struct{}),

		stopLoad:   func() {},
		stopChecks: func() {},
	}
	p.registerHandlers()
	return p
}

func (p *process) registerHandlers() {
	p.mux.HandleFunc("GET /v1/report", p.handleReport)
	p.mux.HandleFunc("POST /v1/order", p.handleOrder)
	p.mux.HandleFunc("GET /v1/events", p.handleEvents)
	p.mux.HandleFunc("POST /v1/completions", p.handleCompletion)
	p.mux.HandleFunc("POST /v1/chat/completions", p.handleCompletion)
	p.mux.HandleFunc("GET /v1/streams/{id}", p.handleResume)
	p.mux.HandleFunc("DELETE /v1/streams/{id}", p.handleCancel)
}

// reportTime is the added delay of a straggler's report, for each unit of
// slowness above 1.
const reportTime = 5 * time.Millisecond

func (p *process) handleReport(w http.ResponseWriter, r *http.Request) {
	delay := time.Duration((p.engine.Slowness() - 1) * float64(reportTime))
	if !clock.Sleep(r.Context(), delay) {
		panic(http.ErrAbortHandler)
	}
	p.mu.Lock()
	report := p.currentReport()
	p.mu.Unlock()
	writeJSON(w, report)
}

// currentReport returns the report. It must be called with the lock held.
func (p *process) currentReport() engine.Report {
	reported := p.load.get()
	return engine.Report{
		Instance:  p.engine.options.ID,
		Boot:      p.boot,
		Fence:     p.order.Fence,
		Replica:   p.order.Replica,
		Rank:      p.order.Rank,
		State:     p.state(),
		Model:     p.order.Model,
		Adapter:   p.order.Adapter,
		Version:   p.order.Version,
		Running:   reported.running,
		Waiting:   reported.waiting,
		Completed: reported.completed,
		Used:      reported.used,
	}
}

// updateLoad records the present load, which becomes visible in reports after
// the lag. It must be called with the lock held.
func (p *process) updateLoad() {
	p.load.set(load{
		running:   len(p.batch.running),
		waiting:   len(p.batch.queue),
		completed: p.completions,
		used:      p.cache.used(),
	}, p.engine.options.LoadLag)
}

// capacity returns the number of requests in progress that the engine can take.
// It must be called with the lock held.
func (p *process) capacity() int {
	o := p.engine.options
	return min(o.WarmLimit, o.ColdLimit+int(p.completions)/o.LimitStep)
}

// wait waits for d, multiplied by the slowness of the slowest member, and for
// the end of a pause. It returns false if ctx or the process ended first.
func (p *process) wait(ctx context.Context, d time.Duration) bool {
	p.mu.Lock()
	members := p.order.Members
	p.mu.Unlock()
	slowest := p.engine.Slowness()
	for _, member := range members {
		slowest = max(slowest, p.engine.options.Pace(member))
	}
	return clock.Sleep(ctx, time.Duration(float64(d)*slowest)) && p.engine.awaitResume(ctx, p)
}
