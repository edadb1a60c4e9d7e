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
	// aloneWait is how long after its first listing of an era a daemon that starts accepts
	// callers whose requests need no key, though it can't know which configuration is the
	// newest and no other daemon accepts callers: half of the time in which a fleet that
	// failed as a whole has to serve again.
	aloneWait = 6 * time.Second
)

// basis is what shows that a configuration is at least the newest one that was put in force.
type basis int32

// The values of basis.
const (
	unshown            basis = iota // operators are to write it again
	outdated                        // another daemon holds a newer one, or has recorded it
	unusedStore                     // no daemon has served by this store before: it holds once it is recorded as settled
	firstEra                        // the store never lost anything
	settledVersion                  // a daemon recorded in this era which version is the newest
	rewrittenVersion                // operators wrote it after this daemon had first listed the store in this era
	writtenSinceRecord              // operators wrote it after the record that the store's copy has of an earlier era
	movedRevision                   // operators wrote it, by its revision, and the store's copy is older than all records
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=basis -output=basis_string.go

// holds reports whether the configuration is shown to be the newest.
func (b basis) holds() bool { return b > unusedStore }

// catchUp tells when a daemon may accept keys by its configuration: once that is shown to be
// at least the newest one that was put in force. A store that came back from an older copy may
// hold one with keys that have been revoked since, and may have lost a version that no daemon
// has read. Operators write again what they wrote, so in a new era only what they wrote in it
// shows anything: neither time nor what daemons held before does. Within an era the store
// loses nothing, so that what was shown holds until the next one.
type catchUp struct {
	self      string // ID of this daemon
	peer      string // its address for other daemons, which its earlier starts had too
	log       logr.Logger
	running   atomic.Bool   // its configuration was shown to be the newest in some era
	era       atomic.Int64  // the latest such era, if running
	shownBy   atomic.Int32  // the basis in that era
	listened  atomic.Bool   // it knows what the others could tell of domains and endpoints
	alone     atomic.Bool   // aloneWait has passed
	unused    atomic.Bool   // the configuration holds once this daemon has recorded it as settled
	listed    bool          // the store was listed, and had a configuration
	listedEra int64         // era of the latest listing
	listedAt  time.Duration // boot clock: first listing of that era
	logged    verdict       // the latest that the log has
}

// verdict is what was found of a version in an era.
type verdict struct {
	era, version int64
	found        basis
}

// allows reports whether keys may be accepted by a snapshot, given what the other daemons
// say now.
func (c *catchUp) allows(held *watch.Snapshot, alive func() []gossip.Message) bool {
	return c.basis(held, alive).holds()
}

// basis returns what shows that the configuration of a snapshot is the newest, once the
// daemon may accept callers by it.
func (c *catchUp) basis(held *watch.Snapshot, alive func() []gossip.Message) basis {
	switch {
	case held.Config == nil || !c.running.Load():
		return unshown
	case held.Era == c.era.Load():
		return basis(c.shownBy.Load())
	}
	return c.shows(held, alive())
}

// takesCallers reports whether callers are accepted by a snapshot, though perhaps not their
// keys. A daemon that starts leaves it to the others while nothing shows that its
// configuration is the newest, if any of them takes callers.
func (c *catchUp) takesCallers(held *watch.Snapshot, alive func() []gossip.Message) bool {
	if c.allows(held, alive) {
		return true
	}
	if held.Config == nil || !c.listened.Load() {
		return false
	}
	messages := alive()
	if c.shows(held, messages) != unshown {
		return false
	}
	return c.running.Load() || c.alone.Load() || slices.ContainsFunc(messages, func(m gossip.Message) bool { return m.Ready })
}

// shows returns what shows that the configuration of a snapshot is the newest.
func (c *catchUp) shows(held *watch.Snapshot, alive []gossip.Message) basis {
	switch {
	case held.Era == 0:
		return firstEra
	case held.Config.Version < max(newestVersion(alive), held.Settled.Version):
		return outdated
	case held.Settled.Era == held.Era:
		return settledVersion
	case held.Rewritten():
		return rewrittenVersion
	case held.WrittenSinceRecord():
		return writtenSinceRecord
	case held.MovedInUnusedCopy():
		return movedRevision
	case held.Unused:
		return unusedStore
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
	if held.Config == nil || c.running.Load() && held.Era == c.era.Load() {
		return
	}
	if !c.listed || held.Era != c.listedEra {
		c.listed, c.listedEra, c.listedAt = true, held.Era, now
	}
	if c.listens(held, alive, now) {
		return
	}
	found := c.shows(held, alive)
	c.listened.Store(true)
	c.alone.Store(now-c.listedAt >= aloneWait)
	c.unused.Store(found == unusedStore)
	c.note(found, held, newestVersion(alive))
	if !found.holds() {
		return
	}
	c.shownBy.Store(int32(found))
	c.era.Store(held.Era)
	c.running.Store(true)
}

// note logs what was found of a snapshot, if it is new, and what it was found by.
func (c *catchUp) note(found basis, held *watch.Snapshot, heard int64) {
	v := verdict{held.Era, held.Config.Version, found}
	if v == c.logged {
		return
	}
	c.logged = v
	c.log.Info("configuration compared", "era", v.era, "version", v.version, "heard", heard, "newest", found.holds(), "why", found.String(),
		"written", held.ConfigAt, "listed", held.EraRevision, "settled", held.Settled.Version, "settled_era", held.Settled.Era, "recorded", held.Settled.Revision)
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
