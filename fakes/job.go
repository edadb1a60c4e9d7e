package fakes

import (
	"context"
	"sync"
	"time"
)

// job is one request in an engine. Its answer grows event by event. Any number
// of connections may read it, each from any offset.
type job struct {
	request
	id       string
	fence    string // fencing number that the request carries
	priority int
	alone    bool
	arrived  time.Time
	admitted chan struct{} // closed when the job enters the batch
	ctx      context.Context
	cancel   context.CancelFunc

	mu        sync.Mutex
	changed   chan struct{} // closed and replaced at each change
	events    [][]byte
	ended     bool // all events are present
	readers   int
	idleTimer *time.Timer // expires the job while it has no readers
}

func newJob(p *process, id string, r request) *job {
	ctx, cancel := context.WithCancel(p.ctx)
	return &job{
		request:  r,
		id:       id,
		arrived:  time.Now(),
		admitted: make(chan struct{}),
		ctx:      ctx,
		cancel:   cancel,
		changed:  make(chan struct{}),
	}
}

// append adds events to the answer, of which ended marks the last ones.
func (j *job) append(ended bool, events ...[]byte) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.events = append(j.events, events...)
	j.ended = ended
	close(j.changed)
	j.changed = make(chan struct{})
}

// eventAt waits for the event at an offset and returns it. It returns false if
// the answer ends before that offset, or if the job is cancelled or ctx ends
// first.
func (j *job) eventAt(ctx context.Context, offset int) ([]byte, bool) {
	for {
		j.mu.Lock()
		var event []byte
		available := offset < len(j.events)
		if available {
			event = j.events[offset]
		}
		ended, changed := j.ended, j.changed
		j.mu.Unlock()
		if available || ended {
			return event, available
		}
		select {
		case <-changed:
		case <-j.ctx.Done():
			return nil, false
		case <-ctx.Done():
			return nil, false
		}
	}
}

// addReader counts a reader and stops the expiry of the job.
func (j *job) addReader() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.readers++
	if j.idleTimer != nil {
		j.idleTimer.Stop()
	}
}

// removeReader removes a reader. It calls expire when the job has had no readers
// for the time keep.
func (j *job) removeReader(keep time.Duration, expire func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.readers--
	if j.readers == 0 {
		j.idleTimer = time.AfterFunc(keep, expire)
	}
}
