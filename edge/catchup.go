package edge

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/watch"
)

const (
	// listenWait is how long a daemon that starts listens to the others before it accepts
	// callers, from its first listing of the store: five rounds of gossip.
	listenWait = 500 * time.Millisecond
	// unheardWait is how long it listens if the store lists other daemons and it has heard
	// none of them. Failure domains that the store lacks are written again by then.
	unheardWait = 3 * time.Second
	// rewriteWait is how long after the first listing of an era operators may take to write
	// a configuration again that the store lost: half of the time in which a fleet that
	// failed as a whole has to serve again.
	rewriteWait = 6 * time.Second
)

// basis is what shows that a configuration is at least the newest one that was put in force.
type basis int

// The values of basis.
const (
	unshown          basis = iota
	outdated               // another daemon holds a newer one, or has recorded it
	unusedStore            // no daemon has served by this store before: it holds once it is recorded as settled
	firstEra               // the store never lost anything
	settledVersion         // a daemon recorded in this era which version is the newest
	rewrittenVersion       // operators have written it since the store lost what came after its copy
	otherDaemons           // this daemon and others have been running since before, and none holds a newer one
	soleDaemon             // this daemon has been running since before, and knew no other
	nobodyKnows            // nothing else shows anything, and operators had time to write it again
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=basis -output=basis_string.go

// holds reports whether the configuration is shown to be the newest.
func (b basis) holds() bool { return b > unusedStore }

// catchUp tells when a daemon may accept keys by its configuration: once that is shown to be
// at least the newest one that was put in force. A store that came back from an older copy may
// hold one with keys that have been revoked since. Within an era the store loses nothing, so
// that what was shown holds until the next one.
type catchUp struct {
	self       string // ID of this daemon
	peer       string // its address for other daemons, which its earlier starts had too
	log        logr.Logger
	running    atomic.Bool   // its configuration was shown to be the newest in some era
	era        atomic.Int64  // the latest such era, if running
	knewOthers atomic.Bool   // there were other daemons in that era
	unused     atomic.Bool   // the configuration holds once this daemon has recorded it as settled
	listed     bool          // the store was listed, and had a configuration
	listedEra  int64         // era of the latest listing
	listedAt   time.Duration // boot clock: first listing of that era
	logged     verdict       // the latest that the log has
}

// verdict is what was found of a version in an era.
type verdict struct {
	era, version int64
	found        basis
}

// allows reports whether keys may be accepted by a snapshot, given what the other daemons
// say now.
func (c *catchUp) allows(held *watch.Snapshot, alive func() []gossip.Message) bool {
	switch {
	case held.Config == nil || !c.running.Load():
		return false
	case held.Era == c.era.Load():
		return true
	}
	return c.shows(held, alive()).holds()
}

// shows returns what shows that the configuration of a snapshot is the newest, but for the
// time that has passed.
func (c *catchUp) shows(held *watch.Snapshot, alive []gossip.Message) basis {
	switch {
	case held.Era == 0:
		return firstEra
	case held.Config.Version < newestVersion(alive):
		return outdated
	case held.Settled.Era == held.Era && held.Config.Version < held.Settled.Version:
		return outdated
	case held.Settled.Era == held.Era:
		return settledVersion
	case held.Rewritten:
		return rewrittenVersion
	case held.Unused:
		return unusedStore
	case c.running.Load() && len(alive) > 0:
		return otherDaemons
	case c.running.Load() && !c.knewOthers.Load():
		return soleDaemon
	}
	return unshown
}

// newestVersion returns the newest version of the configuration that daemons hold.
func newestVersion(messages []gossip.Message) (newest int64) {
	for _, m := range messages {
		newest = max(newest, m.Version)
	}
	return newest
}

// update records the era of a snapshot once its configuration is shown to be the newest.
func (c *catchUp) update(held *watch.Snapshot, alive []gossip.Message, now time.Duration) {
	if held.Config == nil {
		return
	}
	if c.running.Load() && held.Era == c.era.Load() {
		c.knewOthers.Store(len(alive) > 0 || c.listsOthers(held))
		return
	}
	if !c.listed || held.Era != c.listedEra {
		c.listed, c.listedEra, c.listedAt = true, held.Era, now
	}
	if c.listens(held, alive, now) {
		return
	}
	found := c.shows(held, alive)
	c.unused.Store(found == unusedStore)
	if found != outdated && !found.holds() && now-c.listedAt >= rewriteWait {
		found = nobodyKnows
	}
	c.note(verdict{held.Era, held.Config.Version, found}, newestVersion(alive))
	if !found.holds() {
		return
	}
	c.era.Store(held.Era)
	c.running.Store(true)
}

// note logs what was found, if it is new.
func (c *catchUp) note(v verdict, heard int64) {
	if v == c.logged {
		return
	}
	c.logged = v
	c.log.Info("configuration compared", "era", v.era, "version", v.version, "heard", heard, "newest", v.found.holds(), "why", v.found.String())
}

// listens reports whether a daemon that starts doesn't accept callers yet by any configuration,
// since others may tell it what the store's copy lacks: failure domains that are out of service,
// and endpoints that leave.
func (c *catchUp) listens(held *watch.Snapshot, alive []gossip.Message, now time.Duration) bool {
	if c.running.Load() || held.Era == 0 {
		return false
	}
	wait := listenWait
	if len(alive) == 0 && c.listsOthers(held) {
		wait = unheardWait
	}
	rewound := slices.ContainsFunc(alive, func(m gossip.Message) bool { return m.Rewound })
	return rewound || now-c.listedAt < wait
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
