package edge

import (
	"slices"
	"sync/atomic"
	"time"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/watch"
)

// catchUpWait is how long a daemon that has started listens to the others before it
// takes its configuration for the newest: five rounds of gossip.
const catchUpWait = 500 * time.Millisecond

// unheardWait is how long it listens if the store lists other daemons and it has heard none
// of them: they may be late. Failure domains that the store lacks are written again by then.
const unheardWait = 3 * time.Second

// catchUp tells when a daemon may accept keys by its configuration. A store that came
// back from an older copy may hold a configuration with keys that have been revoked since.
// Running daemons keep the newer one, if they had it: one that starts, or that the store
// had turned away before it came back, waits until it holds one as new as theirs.
type catchUp struct {
	self      string        // ID of this daemon
	peer      string        // its address for other daemons, which its earlier starts had too
	startedAt time.Duration // boot clock
	done      atomic.Bool
	era       atomic.Int64 // the latest in which the configuration was as new as that of the others, once done
	seenEra   int64        // the latest that update saw
	seenAt    time.Duration
}

// allows reports whether keys may be accepted by a snapshot, given what the other daemons
// say now.
func (c *catchUp) allows(held *watch.Snapshot, alive func() []gossip.Message) bool {
	if !c.done.Load() || held.Config == nil {
		return false
	}
	if held.Era == c.era.Load() {
		return true
	}
	others := alive()
	return (len(others) > 0 || !c.listsOthers(held)) && held.Config.Version >= newestVersion(others)
}

// newestVersion returns the newest version of the configuration that daemons hold.
func newestVersion(messages []gossip.Message) (newest int64) {
	for _, m := range messages {
		newest = max(newest, m.Version)
	}
	return newest
}

// update compares the configuration with the versions that the other daemons hold.
// A store that never came back from a copy needs no comparison.
func (c *catchUp) update(held *watch.Snapshot, alive []gossip.Message, now time.Duration) {
	if held.Config == nil {
		return
	}
	if c.done.Load() {
		c.updateEra(held, alive, now)
		return
	}
	newest := newestVersion(alive)
	rewound := slices.ContainsFunc(alive, func(m gossip.Message) bool { return m.Rewound })
	wait := catchUpWait
	if len(alive) == 0 && c.listsOthers(held) {
		wait = unheardWait
	}
	caughtUp := now-c.startedAt >= wait && held.Config.Version >= newest && !rewound
	if held.Era == 0 || caughtUp {
		c.era.Store(held.Era)
		c.done.Store(true)
	}
}

// updateEra records the era once the configuration is as new as that of the others. If the
// store lists others and none is heard, they may hold a newer one for unheardWait.
func (c *catchUp) updateEra(held *watch.Snapshot, alive []gossip.Message, now time.Duration) {
	if held.Era != c.seenEra {
		c.seenEra, c.seenAt = held.Era, now
	}
	unheard := len(alive) == 0 && c.listsOthers(held) && now-c.seenAt < unheardWait
	if held.Era != c.era.Load() && !unheard && held.Config.Version >= newestVersion(alive) {
		c.era.Store(held.Era)
	}
}

// listsOthers reports whether the store lists a daemon besides this one and its earlier
// starts.
func (c *catchUp) listsOthers(held *watch.Snapshot) bool {
	for id, d := range held.Daemons {
		if id != c.self && (c.peer == "" || d.Peer != c.peer) {
			return true
		}
	}
	return false
}
