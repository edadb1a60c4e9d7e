package gate

import (
	"time"

	"clementinehead.example/chead/engine"
)

// cache is what the gate believes of the endpoint's prefix cache: the blocks
// of the requests that it let pass, corrected by the endpoint's events. It is
// a hint: events come late, and some are lost.
type cache struct {
	boot   uint64
	after  uint64               // sequence of the last event read
	read   time.Time            // when events were last asked for
	blocks map[uint64]time.Time // when a block was last known to be held
}

const maxBlocks = 1 << 14 // prefix blocks that are remembered

func newCache() cache { return cache{blocks: map[uint64]time.Time{}} }

// pass notes that a request with a prefix went to the endpoint.
func (c *cache) pass(now time.Time, prefix []uint64) {
	if len(c.blocks)+len(prefix) > maxBlocks {
		clear(c.blocks)
	}
	for _, block := range prefix {
		c.blocks[block] = now
	}
}

// match returns how many blocks at the beginning of a prefix are held.
func (c *cache) match(prefix []uint64) int {
	for i, block := range prefix {
		if _, ok := c.blocks[block]; !ok {
			return i
		}
	}
	return len(prefix)
}

// apply learns from events that were asked for at a moment. What was believed
// before a gap is forgotten, since the eviction of it may be among what was
// lost; what passed since the last reading is younger than the gap.
func (c *cache) apply(asked time.Time, feed engine.Feed) {
	if feed.Boot != c.boot {
		c.boot = feed.Boot
		c.after = 0
		clear(c.blocks)
	}
	for _, event := range feed.Events {
		if event.Sequence <= c.after {
			continue
		}
		if event.Sequence != c.after+1 {
			c.forget()
		}
		c.after = event.Sequence
		c.change(asked, event)
	}
	c.read = asked
}

// forget drops what was believed at the last reading.
func (c *cache) forget() {
	for block, at := range c.blocks {
		if !at.After(c.read) {
			delete(c.blocks, block)
		}
	}
}

func (c *cache) change(asked time.Time, event engine.Event) {
	if event.Change == engine.Evicted {
		delete(c.blocks, event.Block)
		return
	}
	if len(c.blocks) >= maxBlocks {
		clear(c.blocks)
	}
	c.blocks[event.Block] = asked
}
