package edge

import (
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

// catchUp tells when a daemon that has started may accept keys by its configuration.
// A store that came back from an older copy may hold a configuration with keys that
// have been revoked since. Running daemons keep the newer one; a daemon that starts
// waits until it holds one as new as theirs.
type catchUp struct {
	self      string        // ID of this daemon
	peer      string        // its address for other daemons, which its earlier starts had too
	startedAt time.Duration // boot clock
	done      atomic.Bool
}

// update compares the configuration with the versions that the other daemons hold.
// A store that never came back from a copy needs no comparison.
func (c *catchUp) update(held *watch.Snapshot, alive []gossip.Message, now time.Duration) {
	if c.done.Load() || held.Config == nil {
		return
	}
	newest := held.Config.Version
	rewound := false
	for _, m := range alive {
		newest = max(newest, m.Version)
		rewound = rewound || m.Rewound
	}
	wait := catchUpWait
	if len(alive) == 0 && c.listsOthers(held) {
		wait = unheardWait
	}
	caughtUp := now-c.startedAt >= wait && held.Config.Version >= newest && !rewound
	if held.Era == 0 || caughtUp {
		c.done.Store(true)
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
