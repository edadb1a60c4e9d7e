package tally

import (
	"slices"
	"sync"
	"time"

	"clementinehead.example/chead/wire"
)

// Tally counts the requests that one boot of one daemon has answered. It is
// safe for concurrent use.
type Tally struct {
	boot Boot
	from time.Time // start of the boot

	mutex    sync.Mutex
	sequence uint64 // of the next usage counts
	counters map[label]*counter
	closed   bool
}

// New returns an empty Tally of a boot that began at from.
func New(boot Boot, from time.Time) *Tally {
	return &Tally{boot: boot, from: from, sequence: 1, counters: map[label]*counter{}}
}

// Count adds a request after its final answer.
func (t *Tally) Count(s Sample) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	l := labelOf(s)
	c := t.counters[l]
	if c == nil {
		c = newCounter()
		t.counters[l] = c
	}
	c.add(s)
	c.changed = t.sequence
}

// Close marks all later results of Usage as final for this boot.
func (t *Tally) Close() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.closed = true
}

// Usage returns the counts that changed since the usage counts with the sequence
// after, or all counts if after is 0. They cover the requests answered before now.
// The error is of kind Unreadable.
func (t *Tally) Usage(after uint64, now time.Time) (*wire.Sheet, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	usage := &wire.Sheet{
		Daemon:   t.boot.Daemon,
		Boot:     t.boot.Boot,
		Sequence: t.sequence,
		From:     t.from.UnixNano(),
		Until:    now.UnixNano(),
		Closed:   t.closed,
		Whole:    after == 0,
		After:    after,
	}
	for l, c := range t.counters {
		if c.changed <= after {
			continue
		}
		count, err := c.message(l)
		if err != nil {
			return nil, err
		}
		usage.Counts = append(usage.Counts, count)
	}
	slices.SortFunc(usage.Counts, compareCounts)
	t.sequence++
	return usage, nil
}
