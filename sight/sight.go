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
	watchWait   = 1500 * time.Millisecond // the longest that one watch waits
	quickPause  = 250 * time.Millisecond  // between two watches of the keeper
	answerLimit = 700 * time.Millisecond  // beyond a watch's wait
	listLimit   = 2 * time.Second
	retryPause  = 300 * time.Millisecond
	oldest      = 2100 * time.Millisecond // a watch ends before the proof gets older, unless the store is lost
	lapseGrace  = 1800 * time.Millisecond // an entry that went in an outage may come back for so long
	outageTail  = 2500 * time.Millisecond // after a failed call, removals may be lapses
)

// Options are what a Sight needs.
type Options struct {
	Store *platform.Store
	Boot  func() time.Duration
	Pause func() time.Duration // between two watches, so that changes come in batches
	Quick func() bool          // changes are needed sooner than that
	Log   logr.Logger
}

// Sight follows the store. Use New.
type Sight struct {
	options Options
	view    atomic.Pointer[View]
	proven  atomic.Int64 // boot clock at which the last successful read was sent
	failed  time.Duration
	lost    bool

	mu      sync.Mutex
	changed chan struct{}
	items   map[string]int64 // revisions by key
}

// New returns a Sight that has seen nothing.
func New(o Options) *Sight {
	s := &Sight{options: o, changed: make(chan struct{}), items: map[string]int64{}}
	s.view.Store((&View{}).clone())
	s.proven.Store(int64(-time.Hour))
	s.failed = -time.Hour
	return s
}

// View returns the newest picture.
func (s *Sight) View() *View { return s.view.Load() }

// Age returns how old the picture may be: whatever the store acknowledged
// before that long ago is in it.
func (s *Sight) Age() time.Duration {
	return s.options.Boot() - time.Duration(s.proven.Load())
}

// Changed returns a channel that is closed at the next change of the picture.
func (s *Sight) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Run follows the store until the context ends.
func (s *Sight) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := s.list(ctx); err != nil {
			s.failure(ctx, "list", err)
			continue
		}
		s.follow(ctx)
	}
	return ctx.Err()
}

// follow watches until the history that it needs is gone.
func (s *Sight) follow(ctx context.Context) {
	for ctx.Err() == nil {
		changed, err := s.watch(ctx)
		if platform.Is(err, platform.Compacted) {
			s.options.Log.Info("history gone, listing anew", "revision", s.View().Revision)
			return
		}
		if err != nil {
			s.failure(ctx, "watch", err)
		}
		if changed {
			clock.Sleep(ctx, s.pause())
		}
	}
}

func (s *Sight) failure(ctx context.Context, op string, err error) {
	if ctx.Err() != nil {
		return
	}
	s.failed = s.options.Boot()
	if !s.lost {
		s.lost = true
		s.options.Log.Info("store lost", "op", op, "error", err.Error(), "age", s.Age().String())
	}
	clock.Sleep(ctx, retryPause)
}

func (s *Sight) success(sent time.Duration) {
	s.proven.Store(int64(sent))
	if s.lost {
		s.lost = false
		s.options.Log.Info("store regained", "revision", s.View().Revision)
	}
}

func (s *Sight) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listLimit)
	defer cancel()
	sent := s.options.Boot()
	listing, err := s.options.Store.List(ctx, platform.AllKeys)
	if err != nil {
		return err
	}
	s.replace(listing)
	s.success(sent)
	return nil
}

// watch takes the changes that come within the wait, and reports whether there
// were any.
func (s *Sight) watch(ctx context.Context) (bool, error) {
	wait := s.wait()
	ctx, cancel := context.WithTimeout(ctx, wait+answerLimit)
	defer cancel()
	sent := s.options.Boot()
	listing, err := s.options.Store.Watch(ctx, platform.AllKeys, s.View().Revision, wait)
	if err != nil {
		return false, err
	}
	s.apply(listing)
	s.success(sent)
	return len(listing.Items) > 0, nil
}

// wait returns how long the next watch may wait: a proof counts from when its
// read was sent, so the age goes on to grow until the watch ends.
func (s *Sight) wait() time.Duration {
	if s.lost {
		return time.Millisecond
	}
	return max(time.Millisecond, min(watchWait, oldest-s.Age()))
}

func (s *Sight) pause() time.Duration {
	if s.options.Quick() {
		return quickPause
	}
	return s.options.Pause()
}

func (s *Sight) publish(next *View) {
	s.view.Store(next)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}
