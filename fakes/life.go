package fakes

import (
	"context"
	"net/http"
	"sync"
	"time"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/engine"
)

// life is one boot of an engine: all that a restart forgets.
type life struct {
	engine *Engine
	boot   uint64
	ctx    context.Context // ends with the life
	end    context.CancelFunc
	mux    *http.ServeMux

	mu    sync.Mutex
	order engine.Order
	jobs  map[string]*job
	batch batch
	done  uint64 // completed requests
	load  delayed[load]
	cache *cache

	loaded    bool // the weights of the order are there
	stopLoad  context.CancelFunc
	missing   string        // address of a member that does not answer
	whole     chan struct{} // closed while all members answer
	stopLooks context.CancelFunc
}

// load is the part of the report that lags.
type load struct {
	running, waiting int
	completed        uint64
	used             float64
}

func newLife(e *Engine, boot uint64) *life {
	ctx, end := context.WithCancel(context.Background())
	l := &life{
		engine: e,
		boot:   boot,
		ctx:    ctx,
		end:    end,
		mux:    http.NewServeMux(),
		jobs:   map[string]*job{},
		batch:  batch{size: e.options.Size},
		cache:  newCache(e.options.Blocks, e.options.Skip, e.options.Delay),
		whole:  make(chan struct{}),

		stopLoad:  func() {},
		stopLooks: func() {},
	}
	l.route()
	return l
}

func (l *life) route() {
	l.mux.HandleFunc("GET /v1/report", l.report)
	l.mux.HandleFunc("POST /v1/order", l.take)
	l.mux.HandleFunc("GET /v1/events", l.events)
	l.mux.HandleFunc("POST /v1/completions", l.submit)
	l.mux.HandleFunc("POST /v1/chat/completions", l.submit)
	l.mux.HandleFunc("GET /v1/streams/{id}", l.resume)
	l.mux.HandleFunc("DELETE /v1/streams/{id}", l.remove)
}

// reportTime is how much later a straggler answers a probe, for each multiple
// of the normal time.
const reportTime = 5 * time.Millisecond

func (l *life) report(w http.ResponseWriter, r *http.Request) {
	late := time.Duration((l.engine.Slowness() - 1) * float64(reportTime))
	if !clock.Sleep(r.Context(), late) {
		panic(http.ErrAbortHandler)
	}
	l.mu.Lock()
	report := l.now()
	l.mu.Unlock()
	writeJSON(w, report)
}

// now is called with the lock held.
func (l *life) now() engine.Report {
	seen := l.load.get()
	return engine.Report{
		Instance:  l.engine.options.ID,
		Boot:      l.boot,
		Fence:     l.order.Fence,
		Replica:   l.order.Replica,
		Rank:      l.order.Rank,
		State:     l.state(),
		Model:     l.order.Model,
		Adapter:   l.order.Adapter,
		Version:   l.order.Version,
		Running:   seen.running,
		Waiting:   seen.waiting,
		Completed: seen.completed,
		Used:      seen.used,
	}
}

// measure notes the load, which shows in reports after the lag. It is called
// with the lock held.
func (l *life) measure() {
	l.load.set(load{
		running:   len(l.batch.running),
		waiting:   len(l.batch.queue),
		completed: l.done,
		used:      l.cache.used(),
	}, l.engine.options.Lag)
}

// bears returns the number of requests in progress that the engine bears. It
// is called with the lock held.
func (l *life) bears() int {
	o := l.engine.options
	return min(o.Full, o.Start+int(l.done)/o.Step)
}

// wait waits for d, lengthened by pauses and by the slowest member's slowness.
func (l *life) wait(ctx context.Context, d time.Duration) bool {
	l.mu.Lock()
	members := l.order.Members
	l.mu.Unlock()
	slowest := l.engine.Slowness()
	for _, member := range members {
		slowest = max(slowest, l.engine.options.Pace(member))
	}
	return clock.Sleep(ctx, time.Duration(float64(d)*slowest)) && l.engine.awake(ctx, l)
}
