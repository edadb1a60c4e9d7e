package relay

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/store"
)

const (
	poll       = 5 * time.Second        // one waiting watch
	answering  = 2 * time.Second        // for an answer of the store
	firstRetry = 500 * time.Millisecond // after a failed call to the store
	lastRetry  = 5 * time.Second
	batching   = 200 * time.Millisecond // between two calls, so that one answer brings several changes
	idle       = time.Second            // between looks at the roster by a daemon that does not watch
	orphaned   = 30 * time.Second       // without vouching, any daemon asks the store itself
	askPeers   = 5                      // peers asked at the start while the store is down
)

// start gets the documents from the store or, while it is down, from peers,
// and reports false when the context ended before one of them answered.
func (r *Relay) start(ctx context.Context) bool {
	wait := firstRetry
	for {
		err := r.listAll(ctx)
		if err == nil || r.fetchAny(ctx) || r.Ready() {
			r.options.Log.Info("documents known", "fromstore", err == nil)
			return true
		}
		if !clock.Sleep(ctx, r.jitter(wait)) {
			return false
		}
		wait = min(2*wait, lastRetry)
	}
}

func (r *Relay) listAll(ctx context.Context) error {
	for _, prefix := range prefixes {
		if _, err := r.list(ctx, prefix); err != nil {
			return err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ready = true
	return nil
}

// list reads all documents under a prefix and returns the revision up to which
// they are complete.
func (r *Relay) list(ctx context.Context, prefix string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, answering)
	defer cancel()
	sent := time.Now()
	listing, err := r.options.Store.List(ctx, prefix)
	r.metrics.watches.WithLabelValues(outcome(err)).Inc()
	if err != nil {
		return 0, &Error{Op: "list", Kind: Store, Err: err}
	}
	r.mu.Lock()
	deleted := r.documents.absent(prefix, listing)
	r.mu.Unlock()
	r.learn("store", 0, append(listing.Entries, deleted...)...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vouch(sent, prefix)
	return listing.Revision, nil
}

// fetchAny asks a few peers, or the seeds while none is known, and reports
// whether a ready one answered. It asks all of them, since some may be behind.
func (r *Relay) fetchAny(ctx context.Context) bool {
	var addresses []string
	for _, daemon := range r.pick(askPeers) {
		addresses = append(addresses, daemon.PeerAddress)
	}
	if len(addresses) == 0 {
		addresses = r.options.Seeds
	}
	var ready atomic.Bool
	var group errgroup.Group
	for _, address := range addresses {
		group.Go(func() error {
			if r.fetch(ctx, address) {
				ready.Store(true)
			}
			return nil
		})
	}
	_ = group.Wait() // its functions return nil
	return ready.Load()
}

// watch follows the store's changes under a prefix while this daemon is one of
// its failure domain's watchers. While nobody vouches for the documents, any
// daemon lists them from time to time.
func (r *Relay) watch(ctx context.Context, prefix string) error {
	var place position
	wait := firstRetry
	pause := idle // until the roster is known
	for clock.Sleep(ctx, pause) {
		pause = idle
		switch {
		case r.chosen():
			err := r.follow(ctx, prefix, &place)
			pause = batching
			if err != nil {
				pause = r.jitter(wait)
				wait = min(2*wait, lastRetry)
			} else {
				wait = firstRetry
			}
		case time.Since(r.Confirmed()) > orphaned:
			place.listed = false
			_, _ = r.list(ctx, prefix) // tried again after the pause
			pause = r.jitter(orphaned)
		default:
			place.listed = false
		}
	}
	return nil
}

// position is how far a watcher has followed the store.
type position struct {
	listed bool
	after  uint64 // revision up to which all changes are known
}

// chosen reports whether this daemon is one of its failure domain's watchers.
func (r *Relay) chosen() bool {
	for _, daemon := range Chosen(r.options.Daemons(), r.options.Domain, "relay", Watchers) {
		if daemon.Id == r.options.Self {
			return true
		}
	}
	return false
}

// follow makes one call, a list at first and then a watch, and moves the
// position on.
func (r *Relay) follow(ctx context.Context, prefix string, place *position) error {
	if !place.listed {
		revision, err := r.list(ctx, prefix)
		place.listed, place.after = err == nil, revision
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, poll+answering)
	defer cancel()
	sent := time.Now()
	listing, err := r.options.Store.Watch(ctx, prefix, place.after, poll)
	r.metrics.watches.WithLabelValues(outcome(err)).Inc()
	if err != nil {
		return &Error{Op: "watch", Kind: Store, Err: err}
	}
	if listing.Compact {
		place.listed = false
		return nil
	}
	r.learn("store", 0, listing.Entries...)
	place.after = max(place.after, listing.Revision)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vouch(answered(sent, listing), prefix)
	return nil
}

// answered is a moment by which the store had not yet answered a watch: it
// waits in full before it says that nothing changed.
func answered(sent time.Time, listing store.Listing) time.Time {
	if len(listing.Entries) == 0 && time.Since(sent) >= poll {
		return sent.Add(poll)
	}
	return sent
}

func (r *Relay) jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return d/2 + time.Duration(r.random.Int64N(int64(d)))
}
