package gate

import (
	"time"

	"clementinehead.example/chead/engine"
)

// cache estimates the content of the leader's prefix cache. It holds the blocks
// of the requests with permits, corrected by the leader's cache events. The
// estimate can be wrong, since events arrive late and some are lost.
type cache struct {
	boot         uint64
	lastSequence uint64               // sequence number of the last event processed
	readAt       time.Time            // when events were last requested
	blocks       map[uint64]time.Time // when a block was last known to be cached
}

const maxBlocks = 1 << 14 // blocks that are held; when there would be more, all earlier ones are dropped

func newCache() cache { return cache{blocks: map[uint64]time.Time{}} }

// add records that a request with the given prefix blocks was sent to the
// leader.
func (c *cache) add(now time.Time, prefix []uint64) {
	if len(c.blocks)+len(prefix) > maxBlocks {
		clear(c.blocks)
	}
	for _, block := range prefix {
		c.blocks[block] = now
	}
}

// match returns how many blocks at the beginning of a prefix are cached.
func (c *cache) match(prefix []uint64) int {
	for i, block := range prefix {
		if _, ok := c.blocks[block]; !ok {
			return i
		}
	}
	return len(prefix)
}

// apply processes events that were requested at the given time. After a gap in
// the sequence numbers it drops the blocks recorded before, since their
// eviction may be among the lost events. Blocks added since the last read are
// more recent than the gap and stay.
func (c *cache) apply(requested time.Time, feed engine.Feed) {
	if feed.Boot != c.boot {
		c.boot = feed.Boot
		c.lastSequence = 0
		clear(c.blocks)
	}
	for _, event := range feed.Events {
		if event.Sequence <= c.lastSequence {
			continue
		}
		if event.Sequence != c.lastSequence+1 {
			c.dropUnconfirmed()
		}
		c.lastSequence = event.Sequence
		c.applyEvent(requested, event)
	}
	c.readAt = requested
}

// dropUnconfirmed drops the blocks that were recorded up to the last read.
func (c *cache) dropUnconfirmed() {
	for block, at := range c.blocks {
		if !at.After(c.readAt) {
			delete(c.blocks, block)
		}
	}
}

func (c *cache) applyEvent(requested time.Time, event engine.Event) {
	if event.Change == engine.Evicted {
		delete(c.blocks, event.Block)
		return
	}
	if len(c.blocks) >= maxBlocks {
		clear(c.blocks)
	}
	c.blocks[event.Block] = requested
}
