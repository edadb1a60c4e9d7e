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

// Prefix is the start of the store keys of all batches of entries.
const Prefix = "audit/"

const (
	queueSize     = 1024                 // entries
	maxBatch      = 128 << 10            // bytes; the last entry of a batch may exceed it
	maxContent    = 64 << 10             // bytes of an entry's Before and After together
	writeInterval = time.Second          // between writes
	storeTimeout  = 2 * time.Second      // for one write
	maxRetryWait  = 15 * time.Second     // between attempts while the store is down
	dayLayout     = "2006-01-02"         // of the day in a batch's key
	dropAction    = "drop audit entries" // Action of the entry that reports dropped ones
)

// Options are the dependencies and settings of a Log.
type Options struct {
	Daemon   string // id of this daemon
	Boot     uint64 // start of this daemon, Unix nanoseconds
	Store    *store.Client
	Logger   logr.Logger
	Registry prometheus.Registerer
}

// Log writes and reads the audit log. It is safe for concurrent use.
type Log struct {
	options Options
	written prometheus.Counter
	dropped prometheus.Counter

	mu           sync.Mutex
	queue        []Entry
	droppedCount int // dropped entries that no entry reports yet
	batchCount   uint64
}

// batch is the value under one key. It does not change after the first attempt to
// write it, so that the write can be repeated.
type batch struct {
	key     string
	Entries []Entry `json:"entries"`
}

// New returns a Log with an empty queue.
func New(options Options) *Log {
	l := &Log{
		options: options,
		written: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chead_audit_written_total", Help: "Audit entries written to the store.",
		}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chead_audit_dropped_total", Help: "Audit entries dropped because too many waited.",
		}),
	}
	if options.Registry != nil {
		options.Registry.MustRegister(l.written, l.dropped)
	}
	return l
}

// Add queues an entry to be written. It never blocks: if the queue is full, the
// oldest entry is dropped and counted. If Before and After are larger than
// maxContent together, they are left out and Cause says so.
func (l *Log) Add(e Entry) {
	if len(e.Before)+len(e.After) > maxContent {
		e.Before, e.After = nil, nil
		e.Cause += " (content too large for the trail)"
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) >= queueSize {
		l.queue = l.queue[1:]
		l.droppedCount++
		l.dropped.Inc()
	}
	l.queue = append(l.queue, e)
}

// Run writes entries until the context ends. Then it writes the queued ones, until
// a write fails, and returns nil.
func (l *Log) Run(ctx context.Context) error {
	wait := writeInterval
	var pending *batch
	for clock.Sleep(ctx, wait) {
		pending, wait = l.flush(ctx, pending, wait)
	}
	l.finish(context.WithoutCancel(ctx), pending)
	return nil
}

// flush writes the pending batch, or the next one if there is none. It returns the
// batch that is still to be written, if any, and the wait before the next attempt.
func (l *Log) flush(ctx context.Context, pending *batch, wait time.Duration) (*batch, time.Duration) {
	if pending == nil {
		pending = l.nextBatch()
	}
	if pending == nil {
		return nil, writeInterval
	}
	if err := l.write(ctx, pending); err != nil {
		if wait == writeInterval {
			l.options.Logger.Error(err, "audit trail waits for the store")
		}
		return pending, min(2*wait, maxRetryWait)
	}
	l.written.Add(float64(len(pending.Entries)))
	return nil, writeInterval
}

// finish writes all queued entries until a write fails.
func (l *Log) finish(ctx context.Context, pending *batch) {
	for {
		if pending == nil {
			pending = l.nextBatch()
		}
		if pending == nil {
			return
		}
		if err := l.write(ctx, pending); err != nil {
			l.options.Logger.Error(err, "audit entries lost", "entries", len(pending.Entries))
			return
		}
		pending = nil
	}
}

// nextBatch removes the next batch, entries of one day, from the queue. It returns
// nil if the queue is empty.
func (l *Log) nextBatch() *batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queueDropEntry()
	if len(l.queue) == 0 {
		return nil
	}
	day := dayOf(l.queue[0])
	size, n := 0, 0
	for n < len(l.queue) && dayOf(l.queue[n]) == day && size < maxBatch {
		size += len(l.queue[n].Before) + len(l.queue[n].After) + 256 // 256 bytes stand for the other fields
		n++
	}
	l.batchCount++
	key := fmt.Sprintf("%s%s/%s-%d-%d", Prefix, day, l.options.Daemon, l.options.Boot, l.batchCount)
	b := &batch{key: key, Entries: l.queue[:n:n]}
	l.queue = l.queue[n:]
	return b
}

// queueDropEntry puts an entry that reports dropped ones at the front of the
// queue. The caller holds the lock.
func (l *Log) queueDropEntry() {
	if l.droppedCount == 0 {
		return
	}
	dropEntry := Entry{
		ID:      fmt.Sprintf("drop-%s-%d-%d", l.options.Daemon, l.options.Boot, l.batchCount+1),
		At:      time.Now(),
		Who:     l.options.Daemon,
		Action:  dropAction,
		Subject: "audit",
		Cause:   fmt.Sprintf("%d entries of this daemon did not fit while the store was down", l.droppedCount),
	}
	l.queue = append([]Entry{dropEntry}, l.queue...)
	l.droppedCount = 0
}

func dayOf(e Entry) string { return e.At.UTC().Format(dayLayout) }

// write creates the key of a batch. If the key exists, an earlier attempt took
// effect.
func (l *Log) write(ctx context.Context, b *batch) error {
	value, err := json.Marshal(b)
	if err != nil {
		return &Error{Op: "write", Kind: Store, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = l.options.Store.Put(ctx, store.Put{Key: b.key, Value: value})
	var storeErr *store.Error
	if errors.As(err, &storeErr) && storeErr.Kind == store.Conflict {
		return nil
	}
	if err != nil {
		return &Error{Op: "write", Kind: Store, Err: err}
	}
	return nil
}
