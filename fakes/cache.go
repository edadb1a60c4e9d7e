package fakes

import (
	"slices"
	"time"

	"clementinehead.example/chead/engine"
)

// maxEvents is the number of cache events that an engine keeps.
const maxEvents = 4096

// cache is an engine's cache of prefix blocks, with its events. Its user
// guards it.
type cache struct {
	size     int
	skip     int // of how many events one is lost, 0 for none
	lag      time.Duration
	blocks   []uint64 // least recently used first
	sequence uint64
	events   []dated[engine.Event]
}

func newCache(size, skip int, lag time.Duration) *cache {
	return &cache{size: size, skip: skip, lag: lag}
}

// touch puts a prompt's blocks in and returns how many were not there.
func (c *cache) touch(prompt string) int {
	missed := 0
	for _, block := range engine.Blocks(prompt) {
		at := slices.Index(c.blocks, block)
		if at >= 0 {
			c.blocks = slices.Delete(c.blocks, at, at+1)
		} else {
			missed++
			c.note(engine.Stored, block)
		}
		c.blocks = append(c.blocks, block)
	}
	for len(c.blocks) > c.size {
		c.note(engine.Evicted, c.blocks[0])
		c.blocks = c.blocks[1:]
	}
	return missed
}

func (c *cache) note(change engine.Change, block uint64) {
	c.sequence++
	if c.skip > 0 && c.sequence%uint64(c.skip) == 0 {
		return
	}
	event := engine.Event{Sequence: c.sequence, Change: change, Block: block}
	c.events = append(c.events, dated[engine.Event]{at: time.Now().Add(c.lag), value: event})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

func (c *cache) used() float64 { return float64(len(c.blocks)) / float64(c.size) }

// since returns the events after a sequence that show by now.
func (c *cache) since(after uint64) []engine.Event {
	events := []engine.Event{}
	for _, event := range c.events {
		if event.value.Sequence > after && !event.at.After(time.Now()) {
			events = append(events, event.value)
		}
	}
	return events
}
