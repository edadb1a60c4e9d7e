package fakes

import (
	"slices"
	"time"

	"clementinehead.example/chead/engine"
)

// maxEvents is the number of cache events that an engine retains.
const maxEvents = 4096

// cache is an engine's LRU cache of prefix blocks, with the events of its
// changes. Its methods must be called with the lock of the process held.
type cache struct {
	size      int
	loseEvery int // every loseEvery-th event is lost; 0 for none
	lag       time.Duration
	blocks    []uint64 // least recently used first
	sequence  uint64
	events    []scheduled[engine.Event]
}

func newCache(size, loseEvery int, lag time.Duration) *cache {
	return &cache{size: size, loseEvery: loseEvery, lag: lag}
}

// touch marks a prompt's blocks as most recently used, adds those that are
// absent, evicts the oldest blocks beyond the cache's size, and returns how many
// blocks were absent.
func (c *cache) touch(prompt string) int {
	missed := 0
	for _, block := range engine.Blocks(prompt) {
		index := slices.Index(c.blocks, block)
		if index >= 0 {
			c.blocks = slices.Delete(c.blocks, index, index+1)
		} else {
			missed++
			c.record(engine.Stored, block)
		}
		c.blocks = append(c.blocks, block)
	}
	for len(c.blocks) > c.size {
		c.record(engine.Evicted, c.blocks[0])
		c.blocks = c.blocks[1:]
	}
	return missed
}

// record adds an event, which becomes visible after the lag, unless it is one
// that is lost.
func (c *cache) record(change engine.Change, block uint64) {
	c.sequence++
	if c.loseEvery > 0 && c.sequence%uint64(c.loseEvery) == 0 {
		return
	}
	event := engine.Event{Sequence: c.sequence, Change: change, Block: block}
	c.events = append(c.events, scheduled[engine.Event]{visibleAt: time.Now().Add(c.lag), value: event})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

// used returns the fraction of the cache in use.
func (c *cache) used() float64 { return float64(len(c.blocks)) / float64(c.size) }

// eventsSince returns the visible events with sequence numbers above after.
func (c *cache) eventsSince(after uint64) []engine.Event {
	events := []engine.Event{}
	for _, event := range c.events {
		if event.value.Sequence > after && !event.visibleAt.After(time.Now()) {
			events = append(events, event.value)
		}
	}
	return events
}
