package fakes

import (
	"context"
	"sync"
	"time"
)

// job is one request in an engine. Its answer grows event by event, and may
// be read by any number of connections from any offset.
type job struct {
	ask
	id       string
	fence    string // that it was sent with
	priority int
	alone    bool
	arrived  time.Time
	admitted chan struct{} // closed once it is in the batch
	ctx      context.Context
	cancel   context.CancelFunc

	mu      sync.Mutex
	changed chan struct{} // closed and replaced at each change
	events  [][]byte
	ended   bool // all events are there
	readers int
	idle    *time.Timer // ends the job when nobody reads it
}

func newJob(l *life, id string, a ask) *job {
	ctx, cancel := context.WithCancel(l.ctx)
	return &job{
		ask:      a,
		id:       id,
		arrived:  time.Now(),
		admitted: make(chan struct{}),
		ctx:      ctx,
		cancel:   cancel,
		changed:  make(chan struct{}),
	}
}

// append adds events to the answer.
func (j *job) append(ended bool, events ...[]byte) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.events = append(j.events, events...)
	j.ended = ended
	close(j.changed)
	j.changed = make(chan struct{})
}

// at returns the event at an offset once it is there. It reports false when
// the job or the reader's context ends before.
func (j *job) at(ctx context.Context, offset int) ([]byte, bool) {
	for {
		j.mu.Lock()
		var event []byte
		there := offset < len(j.events)
		if there {
			event = j.events[offset]
		}
		ended, changed := j.ended, j.changed
		j.mu.Unlock()
		if there || ended {
			return event, there
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

// attach notes a reader, and detach that it left. When the job has had none
// for as long as keep, it expires.
func (j *job) attach() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.readers++
	if j.idle != nil {
		j.idle.Stop()
	}
}

func (j *job) detach(keep time.Duration, expire func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.readers--
	if j.readers == 0 {
		j.idle = time.AfterFunc(keep, expire)
	}
}
