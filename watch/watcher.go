package watch

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/platform"
)

const (
	maxWait      = 1500 * time.Millisecond // of one watch
	quickPause   = 250 * time.Millisecond  // as Options.Pause, if Quick returns true
	answerMargin = 700 * time.Millisecond  // for the answer of a watch, beyond its wait
	listTimeout  = 2 * time.Second         // for all pages of a listing
	retryPause   = 300 * time.Millisecond  // after a failed call
	maxAge       = 2100 * time.Millisecond // watches end before the snapshot is older, unless the store is unreachable
	lapseGrace   = 1800 * time.Millisecond // how long a lapsed endpoint is kept, since it may register again
	outageWindow = 2500 * time.Millisecond // within this time after an outage of the store, removals may be lapses
)

// Options configures a Watcher.
type Options struct {
	Store  *platform.Store
	Do     func(*http.Request) (*http.Response, error) // sends a request to a relay
	Relays func() []string                             // addresses of the relays to follow, in order of preference; none if this daemon is to read the store itself
	Boot   func() time.Duration                        // boot clock
	Pause  func() time.Duration                        // after a watch that returned changes, so that further changes arrive in batches
	Others func() bool                                 // whether most of the other daemons reach the store
	Quick  func() bool                                 // whether a shorter pause is needed, as for the keeper
	Log    logr.Logger
}

// Watcher watches the store and maintains a snapshot of it. Create it with New.
type Watcher struct {
	options     Options
	snapshot    atomic.Pointer[Snapshot]
	freshAt     atomic.Int64 // boot clock when the last successful read was sent
	outageAt    atomic.Int64 // boot clock when the store was last known to be in an outage
	rewoundAt   atomic.Int64 // boot clock when the store was last found to have come back from an older copy
	unreachable bool         // the last call failed
	listed      bool         // a listing was applied
	missed      bool         // changes were missed, so that a listing is needed
	behind      bool         // the last watch may have returned a part of the changes
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

// Rewound reports whether the store came back from an older copy within domainGrace. The
// copy may lack what this daemon knows, and what will be written again.
func (w *Watcher) Rewound() bool {
	return w.options.Boot()-time.Duration(w.rewoundAt.Load()) < domainGrace
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

// readStore reads the store once: all keys at first and when changes were missed, and
// otherwise the changes. Changes are followed by a pause unless they may be a part of
// them, and failures by another one. After two parts all keys are read, which takes less
// than each change of a backlog.
func (w *Watcher) readStore(ctx context.Context) {
	if !w.listed || w.missed {
		if err := w.list(ctx); err != nil {
			w.recordFailure(ctx, "list", err)
		}
		return
	}
	before := w.behind
	changed, err := w.watch(ctx)
	switch {
	case platform.Is(err, platform.Compacted) || platform.Is(err, platform.Rewound) || platform.Is(err, platform.Large):
		w.missed = true
		w.options.Log.Info("changes not to be had, listing anew", "revision", w.Snapshot().Revision, "error", err.Error())
	case err != nil:
		w.recordFailure(ctx, "watch", err)
	case w.behind:
		w.missed = before
	case changed:
		clock.Sleep(ctx, w.pause())
	}
}

// recordFailure records a failed call, logs the first of a series, and sleeps for
// retryPause. The store is in an outage only if most other daemons don't reach it either:
// it may turn single daemons away, or the path to it may be cut.
func (w *Watcher) recordFailure(ctx context.Context, op string, err error) {
	if ctx.Err() != nil {
		return
	}
	outage := !w.options.Others()
	if outage {
		w.outageAt.Store(int64(w.options.Boot()))
	}
	if !w.unreachable {
		w.unreachable = true
		w.options.Log.Info("store lost", "op", op, "error", err.Error(), "age", w.Age().String(), "outage", outage)
	}
	w.nextDirect = w.options.Boot() + directPause
	clock.Sleep(ctx, retryPause)
}

// recordSuccess records a successful read; sent is the boot clock when it was sent.
func (w *Watcher) recordSuccess(sent time.Duration) {
	w.freshAt.Store(int64(sent))
	w.signalRead()
	if w.unreachable {
		w.unreachable = false
		w.options.Log.Info("store regained", "revision", w.Snapshot().Revision)
	}
}

// list replaces the snapshot by a listing of all keys.
func (w *Watcher) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	sent := w.options.Boot()
	listing, err := w.options.Store.List(ctx, platform.AllKeys)
	if err != nil {
		return err
	}
	w.replace(listing)
	w.missed = false
	w.behind = false
	w.options.Log.Info("store listed", "era", listing.Era, "revision", listing.Revision, "keys", len(listing.Items))
	w.recordSuccess(sent)
	return nil
}

// watch applies the changes that arrive within one watch, and reports whether
// there were any. The snapshot is confirmed only if these were all.
func (w *Watcher) watch(ctx context.Context) (bool, error) {
	wait := w.waitTime()
	ctx, cancel := context.WithTimeout(ctx, wait+answerMargin)
	defer cancel()
	sent := w.options.Boot()
	held := w.Snapshot()
	listing, err := w.options.Store.Watch(ctx, platform.AllKeys, held.Era, held.Revision, wait)
	if err != nil {
		return false, err
	}
	w.applyChanges(listing)
	w.behind = mayBePart(listing)
	if w.behind {
		w.signalRead() // followers need not wait for the rest
	} else {
		w.recordSuccess(sent)
	}
	return len(listing.Items) > 0, nil
}

// An answer to a watch with more than this may hold a part of the changes: the store ends
// answers at about 1 MB or 500 changes, and sooner where the next value is a large one.
const (
	partBytes = 256 << 10 // of values and keys
	partItems = 250
)

// mayBePart reports whether there may be changes that were made before the answer and
// aren't in it.
func mayBePart(listing platform.Listing) bool {
	bytes := 0
	for _, item := range listing.Items {
		bytes += len(item.Key) + len(item.Value)
	}
	return bytes > partBytes || len(listing.Items) > partItems
}

// waitTime returns how long the next watch may wait. The age counts from when the
// last read was sent, so it grows until the watch ends.
func (w *Watcher) waitTime() time.Duration {
	if w.unreachable || w.behind {
		return time.Millisecond
	}
	return max(time.Millisecond, min(maxWait, maxAge-w.Age()))
}

// pause returns the time between a watch that returned changes and the next.
func (w *Watcher) pause() time.Duration {
	if w.options.Quick() {
		return quickPause
	}
	return w.options.Pause()
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
