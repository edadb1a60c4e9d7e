package audit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/store"
)

// Prefix begins the store's keys of all batches of entries.
const Prefix = "audit/"

const (
	capacity   = 1024             // entries that wait
	batchSize  = 128 << 10        // bytes of a batch, but for its last entry
	largest    = 64 << 10         // bytes of an entry's before and after
	interval   = time.Second      // between writes
	answering  = 2 * time.Second  // for an answer of the store
	lastRetry  = 15 * time.Second // between tries while the store is down
	dayLayout  = "2006-01-02"
	dropAction = "drop audit entries"
)

// Options are what a Trail depends on.
type Options struct {
	Daemon   string // id of this daemon
	Boot     uint64 // its start, Unix nanoseconds
	Store    *store.Client
	Log      logr.Logger
	Registry prometheus.Registerer
}

// Trail writes and reads the audit trail. It is safe for concurrent use.
type Trail struct {
	options Options
	written prometheus.Counter
	dropped prometheus.Counter

	mu      sync.Mutex
	waiting []Entry
	lost    int // entries dropped and not yet told of
	batches uint64
}

// batch is the value under one key. It does not change once it was sent, so
// that it can be sent again.
type batch struct {
	key     string
	Entries []Entry `json:"entries"`
}

// New returns a trail with nothing to write.
func New(options Options) *Trail {
	t := &Trail{
		options: options,
		written: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chead_audit_written_total", Help: "Audit entries written to the store.",
		}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chead_audit_dropped_total", Help: "Audit entries dropped because too many waited.",
		}),
	}
	if options.Registry != nil {
		options.Registry.MustRegister(t.written, t.dropped)
	}
	return t
}

// Add has an entry written soon. It never blocks; when too many wait, the
// oldest is dropped and counted. Content that is too large is left out.
func (t *Trail) Add(e Entry) {
	if len(e.Before)+len(e.After) > largest {
		e.Before, e.After = nil, nil
		e.Cause += " (content too large for the trail)"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) >= capacity {
		t.waiting = t.waiting[1:]
		t.lost++
		t.dropped.Inc()
	}
	t.waiting = append(t.waiting, e)
}

// Run writes entries until the context ends, and then once more what waits. It
// returns nil then.
func (t *Trail) Run(ctx context.Context) error {
	wait := interval
	var pending *batch
	for clock.Sleep(ctx, wait) {
		pending, wait = t.flush(ctx, pending, wait)
	}
	t.finish(context.WithoutCancel(ctx), pending)
	return nil
}

// flush writes the pending batch, or the next one, and returns the batch that
// still has to be written and how long to wait before.
func (t *Trail) flush(ctx context.Context, pending *batch, wait time.Duration) (*batch, time.Duration) {
	if pending == nil {
		pending = t.next()
	}
	if pending == nil {
		return nil, interval
	}
	if err := t.write(ctx, pending); err != nil {
		if wait == interval {
			t.options.Log.Error(err, "audit trail waits for the store")
		}
		return pending, min(2*wait, lastRetry)
	}
	t.written.Add(float64(len(pending.Entries)))
	return nil, interval
}

// finish writes what waits, as far as the store answers.
func (t *Trail) finish(ctx context.Context, pending *batch) {
	for {
		if pending == nil {
			pending = t.next()
		}
		if pending == nil {
			return
		}
		if err := t.write(ctx, pending); err != nil {
			t.options.Log.Error(err, "audit entries lost", "entries", len(pending.Entries))
			return
		}
		pending = nil
	}
}

// next takes the next batch off the buffer: entries of one day.
func (t *Trail) next() *batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tellLost()
	if len(t.waiting) == 0 {
		return nil
	}
	day := dayOf(t.waiting[0])
	size, n := 0, 0
	for n < len(t.waiting) && dayOf(t.waiting[n]) == day && size < batchSize {
		size += len(t.waiting[n].Before) + len(t.waiting[n].After) + 256
		n++
	}
	t.batches++
	key := fmt.Sprintf("%s%s/%s-%d-%d", Prefix, day, t.options.Daemon, t.options.Boot, t.batches)
	taken := &batch{key: key, Entries: t.waiting[:n:n]}
	t.waiting = t.waiting[n:]
	return taken
}

// tellLost puts an entry about dropped ones before the others. The caller
// holds the lock.
func (t *Trail) tellLost() {
	if t.lost == 0 {
		return
	}
	told := Entry{
		ID:      fmt.Sprintf("drop-%s-%d-%d", t.options.Daemon, t.options.Boot, t.batches+1),
		At:      time.Now(),
		Who:     t.options.Daemon,
		Action:  dropAction,
		Subject: "audit",
		Cause:   fmt.Sprintf("%d entries of this daemon did not fit while the store was down", t.lost),
	}
	t.waiting = append([]Entry{told}, t.waiting...)
	t.lost = 0
}

func dayOf(e Entry) string { return e.At.UTC().Format(dayLayout) }

// write creates a batch's key. That it exists already means that an earlier
// try took effect.
func (t *Trail) write(ctx context.Context, b *batch) error {
	value, err := json.Marshal(b)
	if err != nil {
		return &Error{Op: "write", Kind: Store, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, answering)
	defer cancel()
	_, err = t.options.Store.Put(ctx, store.Put{Key: b.key, Value: value})
	var failure *store.Error
	if errors.As(err, &failure) && failure.Kind == store.Conflict {
		return nil
	}
	if err != nil {
		return &Error{Op: "write", Kind: Store, Err: err}
	}
	return nil
}
