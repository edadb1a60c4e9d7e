package roster

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"clementinehead.example/chead/store"
	"clementinehead.example/chead/wire"
)

const (
	heartbeatInterval = time.Second
	successors        = 3                      // ring successors that receive the heartbeats in turn
	randomEvery       = 4                      // rounds per additional heartbeat to a random peer
	deadEvery         = 16                     // rounds per additional heartbeat to a dead daemon
	callTimeout       = 500 * time.Millisecond // of a heartbeat or a list; timeouts of several calls are multiples of it
	indirectProbes    = 3                      // peers that repeat an unanswered heartbeat
	changeFanout      = 3                      // peers that receive a change of standing at once
	changeInterval    = 250 * time.Millisecond // between such announcements
	maxPiggyback      = 8                      // entries passed on with a heartbeat
	maxConcurrent     = 16                     // goroutines of sendHeartbeats: its loop and the heartbeats in progress; further ones are skipped
	maxMismatches     = 6                      // consecutive differing roster hashes before a peer's whole roster is fetched
)

// Options configures a Roster. Digest and CompareDigest may be nil.
type Options struct {
	Self          *wire.Daemon                                // this daemon's entry, without a standing
	Seeds         []string                                    // peer addresses to contact while the store is unavailable
	Store         *store.Client                               // holds the record of every daemon
	Client        func(address string) wire.RosterClient      // returns a client of the daemon at a peer address
	Digest        func() *wire.Digest                         // returns the digest of the documents held
	CompareDigest func(*wire.Daemon, *wire.Digest, time.Time) // takes a peer's digest and a time not later than it was made, zero if unknown
	Log           logr.Logger
	Registry      prometheus.Registerer
	Rand          *rand.Rand
}

// Roster tracks the membership. It is safe for concurrent use.
type Roster struct {
	options  Options
	metrics  *metrics
	announce chan struct{} // signals a change to announce before the next heartbeat

	mu         sync.Mutex
	table      *table
	round      int  // heartbeat rounds so far
	mismatches int  // consecutive answers with a different roster hash
	joined     bool // see Joined
	random     *rand.Rand
}

// New returns a Roster that knows only its own daemon.
func New(options Options) *Roster {
	self := proto.CloneOf(options.Self)
	self.Standing = wire.Standing_STANDING_ALIVE
	return &Roster{
		options:  options,
		metrics:  newMetrics(options.Registry),
		announce: make(chan struct{}, 1),
		table:    newTable(self, time.Now()),
		random:   options.Rand,
	}
}

// Run joins the cluster and sends heartbeats until the context ends, and then
// removes the daemon's record. It returns nil.
func (r *Roster) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.register(ctx) })
	group.Go(func() error { return r.sendHeartbeats(ctx) })
	group.Go(func() error { return r.announceChanges(ctx) })
	return group.Wait()
}

// Daemons returns all known daemons sorted by id, including this one and dead
// ones. The caller must not change the entries. The fields Applied and Load are
// current for the daemons that exchange heartbeats with this one and may be old
// for others.
func (r *Roster) Daemons() []*wire.Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	daemons := make([]*wire.Daemon, 0, len(r.table.order))
	for _, id := range r.table.order {
		daemons = append(daemons, r.table.members[id].daemon)
	}
	return daemons
}

// Find returns the entry of a daemon.
func (r *Roster) Find(id string) (*wire.Daemon, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.table.members[id]
	if !ok {
		return nil, false
	}
	return known.daemon, true
}

// Joined reports whether another daemon has answered, or the store has shown
// that there is none.
func (r *Roster) Joined() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.joined
}

// Leave sets the standing of this daemon to leaving and announces it to peers at
// once.
func (r *Roster) Leave() {
	r.mu.Lock()
	changed := r.table.setStanding(r.table.self, wire.Standing_STANDING_LEAVING, time.Now())
	r.mu.Unlock()
	if changed {
		r.announceSoon()
	}
}

// SetApplied sets the store revision of the configuration that this daemon has
// in force.
func (r *Roster) SetApplied(revision uint64) {
	r.updateSelf(func(self *wire.Daemon) { self.Applied = revision })
}

// SetLoad sets the number of requests that this daemon has in progress.
func (r *Roster) SetLoad(n uint32) {
	r.updateSelf(func(self *wire.Daemon) { self.Load = n })
}

// updateSelf changes fields of this daemon's entry that are sent with its own
// heartbeats but not passed on by others.
func (r *Roster) updateSelf(change func(*wire.Daemon)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.table.members[r.table.self]
	updated := proto.CloneOf(known.daemon)
	change(updated)
	known.daemon = updated
}

// mergeBeat merges the entries received with a heartbeat: the sender's own entry
// and those that it passes on. Changes to a standing other than alive are
// announced at once.
func (r *Roster) mergeBeat(from *wire.Daemon, changed []*wire.Daemon) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range append(slices.Clip(changed), from) {
		if r.merge(entry) && entry.Standing != wire.Standing_STANDING_ALIVE {
			r.announceSoon()
		}
	}
	r.table.updateFigures(from)
}

// mergeList merges a peer's whole roster. Its entries are not passed on, since
// the peer has already passed them on.
func (r *Roster) mergeList(entries []*wire.Daemon) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range entries {
		if r.merge(entry) && entry.Id != r.table.self {
			r.table.stopSpreading(entry.Id)
		}
	}
}

// merge merges an entry and reports whether it changed the roster. The caller
// holds the lock.
func (r *Roster) merge(entry *wire.Daemon) bool {
	if !r.table.merge(entry, time.Now()) {
		return false
	}
	r.logChange(entry.Id)
	return true
}

// logChange logs and counts a change of a daemon's entry. The caller holds the
// lock.
func (r *Roster) logChange(id string) {
	daemon := r.table.members[id].daemon
	r.metrics.changes.WithLabelValues(standingName(daemon.Standing)).Inc()
	r.options.Log.Info("daemon changed", "daemon", id, "standing", standingName(daemon.Standing),
		"boot", daemon.Boot, "incarnation", daemon.Incarnation)
}

// announceSoon requests that changes are announced before the next heartbeat is
// due.
func (r *Roster) announceSoon() {
	select {
	case r.announce <- struct{}{}:
	default:
	}
}
