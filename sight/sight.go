package sight

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/platform"
)

const (
	maxWait      = 1500 * time.Millisecond // of one watch
	quickPause   = 250 * time.Millisecond  // between two watches when Quick holds
	answerMargin = 700 * time.Millisecond  // for the answer of a watch, beyond its wait
	listTimeout  = 2 * time.Second         // for all pages of a listing
	retryPause   = 300 * time.Millisecond  // after a failed call
	maxAge       = 2100 * time.Millisecond // watches end before the snapshot is older, unless the store is unreachable
	lapseGrace   = 1800 * time.Millisecond // how long a lapsed endpoint is kept, since it may register again
	outageWindow = 2500 * time.Millisecond // removals so long after a failed call may be lapses
)

// Options configures a Sight.
type Options struct {
	Store *platform.Store
	Boot  func() time.Duration // boot clock
	Pause func() time.Duration // between two watches, so that changes arrive in batches
	Quick func() bool          // whether a shorter pause is needed, as for the keeper
	Log   logr.Logger
}

// Watcher watches the store and maintains a snapshot of it. Create it with New.
type Watcher struct {
	options     Options
	view        atomic.Pointer[Snapshot]
	freshAt     atomic.Int64  // boot clock when the last successful read was sent
	failedAt    time.Duration // boot clock of the last failed call
	unreachable bool          // the last call failed

	mu        sync.Mutex
	changed   chan struct{}    // closed at the next change
	revisions map[string]int64 // revision of each present key
}

// New returns a Sight with an empty snapshot, aged at least an hour.
func New(o Options) *Watcher {
	s := &Watcher{options: o, changed: make(chan struct{}), revisions: map[string]int64{}}
	s.view.Store((&Snapshot{}).clone())
	s.freshAt.Store(int64(-time.Hour))
	s.failedAt = -time.Hour
	return s
}

// Snapshot returns the latest snapshot.
func (s *Watcher) Snapshot() *Snapshot { return s.view.Load() }

// Age returns an upper bound on the age of the snapshot: it contains every write
// that the store acknowledged longer ago than that.
func (s *Watcher) Age() time.Duration {
	return s.options.Boot() - time.Duration(s.freshAt.Load())
}

// Changed returns a channel that is closed when the snapshot next changes.
func (s *Watcher) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Run lists and watches the store until the context ends, and returns the
// context's error.
func (s *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := s.list(ctx); err != nil {
			s.recordFailure(ctx, "list", err)
			continue
		}
		s.watchLoop(ctx)
	}
	return ctx.Err()
}

// watchLoop watches until the store has compacted the revisions that the next
// watch needs.
func (s *Watcher) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		changed, err := s.watch(ctx)
		if platform.Is(err, platform.Compacted) {
			s.options.Log.Info("history gone, listing anew", "revision", s.Snapshot().Revision)
			return
		}
		if err != nil {
			s.recordFailure(ctx, "watch", err)
		}
		if changed {
			clock.Sleep(ctx, s.pause())
		}
	}
}

// recordFailure notes a failed call, logs the first of a series, and sleeps for
// retryPause.
func (s *Watcher) recordFailure(ctx context.Context, op string, err error) {
	if ctx.Err() != nil {
		return
	}
	s.failedAt = s.options.Boot()
	if !s.unreachable {
		s.unreachable = true
		s.options.Log.Info("store lost", "op", op, "error", err.Error(), "age", s.Age().String())
	}
	clock.Sleep(ctx, retryPause)
}

// recordSuccess notes a successful read that was sent at a reading of the boot
// clock.
func (s *Watcher) recordSuccess(sent time.Duration) {
	s.freshAt.Store(int64(sent))
	if s.unreachable {
		s.unreachable = false
		s.options.Log.Info("store regained", "revision", s.Snapshot().Revision)
	}
}

// list replaces the snapshot by a listing of all keys.
func (s *Watcher) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	sent := s.options.Boot()
	listing, err := s.options.Store.List(ctx, platform.AllKeys)
	if err != nil {
		return err
	}
	s.replace(listing)
	s.recordSuccess(sent)
	return nil
}

// watch applies the changes that arrive within one watch, and reports whether
// there were any.
func (s *Watcher) watch(ctx context.Context) (bool, error) {
	wait := s.waitTime()
	ctx, cancel := context.WithTimeout(ctx, wait+answerMargin)
	defer cancel()
	sent := s.options.Boot()
	listing, err := s.options.Store.Watch(ctx, platform.AllKeys, s.Snapshot().Revision, wait)
	if err != nil {
		return false, err
	}
	s.applyChanges(listing)
	s.recordSuccess(sent)
	return len(listing.Items) > 0, nil
}

// waitTime returns how long the next watch may wait. The age counts from when the
// last read was sent, so it grows until the watch ends.
func (s *Watcher) waitTime() time.Duration {
	if s.unreachable {
		return time.Millisecond
	}
	return max(time.Millisecond, min(maxWait, maxAge-s.Age()))
}

// pause returns the time between a watch that returned changes and the next.
func (s *Watcher) pause() time.Duration {
	if s.options.Quick() {
		return quickPause
	}
	return s.options.Pause()
}

// publish makes next the latest snapshot and signals the change.
func (s *Watcher) publish(next *Snapshot) {
	s.view.Store(next)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}
