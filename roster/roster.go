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
	interval   = time.Second            // between heartbeats
	successors = 3                      // ring successors that are beaten in turn
	often      = 4                      // heartbeats for one more to a random peer
	seldom     = 16                     // heartbeats for one more to a dead daemon
	limit      = 500 * time.Millisecond // of a heartbeat
	helpers    = 3                      // peers that repeat an unanswered heartbeat
	burst      = 3                      // peers that hear of a change at once
	spacing    = 250 * time.Millisecond // between such bursts
	piggyback  = 8                      // entries passed on with a heartbeat
	abreast    = 16                     // heartbeats in progress
	mismatches = 6                      // differing hashes in a row before lists are exchanged
)

// Options are what a Roster depends on. Digest and Compare may be nil.
type Options struct {
	Self     *wire.Daemon                                // the own entry, standing unset
	Seeds    []string                                    // peer addresses to try while the store is down
	Store    *store.Client                               // where daemons record themselves
	Client   func(address string) wire.RosterClient      // by peer address
	Digest   func() *wire.Digest                         // of the documents held here
	Compare  func(*wire.Daemon, *wire.Digest, time.Time) // a peer's digest, and the moment by which it held
	Log      logr.Logger
	Registry prometheus.Registerer
	Rand     *rand.Rand
}

// Roster keeps the membership. It is safe for concurrent use.
type Roster struct {
	options Options
	metrics *metrics
	urgent  chan struct{}

	mu       sync.Mutex
	table    *table
	turn     int // heartbeats begun
	differed int // answers in a row whose roster hash was another
	joined   bool
	random   *rand.Rand
}

// New returns a roster that knows only its own daemon.
func New(options Options) *Roster {
	self := proto.CloneOf(options.Self)
	self.Standing = wire.Standing_STANDING_ALIVE
	return &Roster{
		options: options,
		metrics: newMetrics(options.Registry),
		urgent:  make(chan struct{}, 1),
		table:   newTable(self, time.Now()),
		random:  options.Rand,
	}
}

// Run joins, beats peers until the context ends, and removes the daemon's
// record. It returns nil then.
func (r *Roster) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.register(ctx) })
	group.Go(func() error { return r.beatPeers(ctx) })
	group.Go(func() error { return r.tellChanges(ctx) })
	return group.Wait()
}

// Daemons returns all known daemons, the own and the dead ones included, by
// id. Nobody may change the entries. Applied and Load are fresh for the daemons
// that exchange heartbeats with this one, and may be old for others.
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

// Joined reports whether another daemon has answered, or the store has said
// that there is none.
func (r *Roster) Joined() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.joined
}

// Leave makes the own standing leaving and tells peers at once.
func (r *Roster) Leave() {
	r.mu.Lock()
	changed := r.table.stand(r.table.self, wire.Standing_STANDING_LEAVING, time.Now())
	r.mu.Unlock()
	if changed {
		r.wake()
	}
}

// SetApplied tells the store revision of the configuration in force here.
func (r *Roster) SetApplied(revision uint64) {
	r.amend(func(self *wire.Daemon) { self.Applied = revision })
}

// SetLoad tells the number of requests in progress here.
func (r *Roster) SetLoad(n uint32) {
	r.amend(func(self *wire.Daemon) { self.Load = n })
}

// amend changes figures of the own entry, which travel with the next heartbeat
// without being passed on.
func (r *Roster) amend(change func(*wire.Daemon)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.table.members[r.table.self]
	fresh := proto.CloneOf(known.daemon)
	change(fresh)
	known.daemon = fresh
}

// take merges what came with a heartbeat, the sender's own entry and those that
// it passes on, and tells others at once of changes of standing.
func (r *Roster) take(from *wire.Daemon, changed []*wire.Daemon) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range append(slices.Clip(changed), from) {
		if r.merge(entry) && entry.Standing != wire.Standing_STANDING_ALIVE {
			r.wake()
		}
	}
	r.table.refresh(from)
}

// takeList merges a peer's whole roster, which need not be passed on.
func (r *Roster) takeList(entries []*wire.Daemon) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range entries {
		if r.merge(entry) && entry.Id != r.table.self {
			r.table.stopSpreading(entry.Id)
		}
	}
}

// merge takes an entry in and reports whether it was news. The caller holds the
// lock.
func (r *Roster) merge(entry *wire.Daemon) bool {
	if !r.table.merge(entry, time.Now()) {
		return false
	}
	r.note(entry.Id)
	return true
}

// note logs and counts a change of standing. The caller holds the lock.
func (r *Roster) note(id string) {
	daemon := r.table.members[id].daemon
	r.metrics.changes.WithLabelValues(name(daemon.Standing)).Inc()
	r.options.Log.Info("daemon changed", "daemon", id, "standing", name(daemon.Standing),
		"boot", daemon.Boot, "incarnation", daemon.Incarnation)
}

// wake asks for changes to be told before the next heartbeat.
func (r *Roster) wake() {
	select {
	case r.urgent <- struct{}{}:
	default:
	}
}
