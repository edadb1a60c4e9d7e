package watch

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"clementinehead.example/chead/platform"
)

// Options configures a Watcher.
type Options struct {
	Store  *platform.Store
	Do     func(*http.Request) (*http.Response, error) // sends a request to a relay
	Relays func() []string                             // addresses of the relays to follow, in order of preference; none if this daemon is to read the store itself
	Boot   func() time.Duration                        // boot clock
	Index  func() string                               // address of the daemon that reads the store's revision for this one, too; empty if this one reads it
	Pause  func() time.Duration                        // after a watch that returned changes, so that further changes arrive in batches
	Others func() bool                                 // whether most of the other daemons reach the store
	Quick  func() bool                                 // whether a shorter pause is needed, as for the keeper
	Log    logr.Logger
}

// Watcher watches the store and maintains a snapshot of it. Create it with New.
type Watcher struct {
	options     Options
	snapshot    atomic.Pointer[Snapshot]
	freshAt     atomic.Int64         // boot clock: the snapshot holds all that was acknowledged before
	outageAt    atomic.Int64         // boot clock when the store was last known to be in an outage
	rewoundAt   atomic.Int64         // boot clock when the store was last found to have come back from an older copy
	unreachable bool                 // the last call failed
	listed      bool                 // a listing was applied
	missed      bool                 // changes were missed, so that a listing is needed
	goal        goal                 // what the snapshot is to be complete to
	proved      atomic.Pointer[goal] // the last goal that it was complete to, nil at first
	rewind      rewind
	daemonIDs   map[string]string // ID of the daemon that is listed for an instance
	history     history
	encoded     encodedItems
	nextDirect  time.Duration            // boot clock: the store itself is not tried again until then if a relay answers
	badUntil    map[string]time.Duration // boot clock: relays that are not asked until then, by address

	mu        sync.Mutex
	changed   chan struct{}    // closed at the next change
	read      chan struct{}    // closed at the next successful read
	revisions map[string]int64 // revision of each present key
}

// New returns a Watcher with an empty snapshot, aged at least an hour.
func New(o Options) *Watcher {
	w := &Watcher{options: o, changed: make(chan struct{}), read: make(chan struct{}), badUntil: map[string]time.Duration{}, daemonIDs: map[string]string{}, revisions: map[string]int64{}, rewind: rewind{departed: map[string]departure{}}}
	w.snapshot.Store((&Snapshot{}).clone())
	w.freshAt.Store(int64(-time.Hour))
	w.outageAt.Store(int64(-time.Hour))
	w.rewoundAt.Store(int64(-time.Hour))
	return w
}

// Snapshot returns the latest snapshot.
func (w *Watcher) Snapshot() *Snapshot { return w.snapshot.Load() }

// Age returns an upper bound on the age of the snapshot: it contains every write
// that the store acknowledged longer ago than that.
func (w *Watcher) Age() time.Duration {
	return w.options.Boot() - time.Duration(w.freshAt.Load())
}

// Rewound reports whether the store came back from an older copy within domainGrace, or
// since operators last wrote while a failure domain is kept out of service. The copy may lack
// what this daemon knows, and what will be written again.
func (w *Watcher) Rewound() bool {
	return w.options.Boot()-time.Duration(w.rewoundAt.Load()) < domainGrace || len(w.Snapshot().KeptOut) > 0
}

// Changed returns a channel that is closed when the snapshot next changes.
func (w *Watcher) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// Run keeps the snapshot up to date until the context ends. It follows a relay, if
// there is one, and otherwise reads the store.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if address := w.relay(); address != "" && w.follow(ctx, address) {
			continue
		}
		w.readStore(ctx)
	}
	return ctx.Err()
}

// publish makes next the latest snapshot and signals the change.
func (w *Watcher) publish(next *Snapshot) {
	w.snapshot.Store(next)
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.changed)
	w.changed = make(chan struct{})
}

// nextRead returns a channel that is closed at the next successful read.
func (w *Watcher) nextRead() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.read
}

func (w *Watcher) signalRead() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.read)
	w.read = make(chan struct{})
}
