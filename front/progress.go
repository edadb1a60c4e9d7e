package front

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"clementinehead.example/chead/site"
)

// maxProgressLines is the most lines that a phase of a shutdown writes of requests, so
// that all fit in the log's buffer.
const maxProgressLines = 100

// progress is what is known of a request in progress outside its handler.
type progress struct {
	endpoint atomic.Pointer[string] // the last one that it was sent to or was to be
	sends    atomic.Int64           // sends that got a connection to an endpoint
	events   atomic.Int64           // events sent to the caller
	headSent atomic.Bool            // the head of a stream's response was sent to the caller
	deadline atomic.Int64           // in nanoseconds after the arrival, 0 while it isn't known
	cancel   atomic.Pointer[func()] // cancels the sends, nil until the request was read
}

// jobs holds the requests in progress. The zero value is ready to use.
type jobs struct {
	mu  sync.Mutex
	all map[*job]struct{}
}

// add adds a request.
func (s *jobs) add(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = map[*job]struct{}{}
	}
	s.all[j] = struct{}{}
}

// remove removes a request.
func (s *jobs) remove(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, j)
}

// list returns the requests in progress.
func (s *jobs) list() []*job {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*job, 0, len(s.all))
	for j := range s.all {
		list = append(list, j)
	}
	return list
}

// Active returns the number of requests in progress.
func (f *Front) Active() int {
	f.jobs.mu.Lock()
	defer f.jobs.mu.Unlock()
	return len(f.jobs.all)
}

// LogProgress logs the requests in progress, at most maxProgressLines of them.
func (f *Front) LogProgress(cause string) {
	list := f.jobs.list()
	for _, j := range list[:min(len(list), maxProgressLines)] {
		f.logProgress(j, cause)
	}
}

// logProgress logs a request in progress.
func (f *Front) logProgress(j *job, cause string) {
	endpoint := ""
	if e := j.progress.endpoint.Load(); e != nil {
		endpoint = *e
	}
	elapsed := time.Since(j.arrived)
	left := time.Duration(0)
	if deadline := time.Duration(j.progress.deadline.Load()); deadline > 0 {
		left = deadline - elapsed
	}
	f.options.Log.Info("request in progress", "id", j.id, "cause", cause, "endpoint", endpoint, "sends", j.progress.sends.Load(),
		"events", j.progress.events.Load(), "elapsed_ms", elapsed.Milliseconds(), "left_ms", left.Milliseconds())
}

// context returns the context of a request's sends, which ends at its deadline, or as
// end is called. A request that may run only once is not cancelled when its caller
// disconnects.
func (j *job) context() (context.Context, context.CancelFunc) {
	parent := j.r.Context()
	if j.route.Repeat == site.Once {
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithDeadline(parent, j.deadline)
	end := func() { cancel() }
	j.progress.cancel.Store(&end)
	return ctx, cancel
}
