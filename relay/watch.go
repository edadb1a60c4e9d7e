package relay

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"clementinehead.example/chead/clock"
)

const (
	watchWait      = 5 * time.Second        // how long the store waits for a change before it answers a watch
	storeTimeout   = 2 * time.Second        // for an answer of the store, beyond watchWait in a watch
	minRetryDelay  = 500 * time.Millisecond // after the first failed call to the store
	maxRetryDelay  = 5 * time.Second        // after repeated failures
	watchInterval  = 200 * time.Millisecond // pause between two calls, so that one answer holds several changes
	rosterInterval = time.Second            // how often a daemon that does not watch checks whether it should
	maxUnverified  = 30 * time.Second       // after this time without verification, every daemon lists the store itself
	startPeers     = 5                      // peers to fetch from at the start while the store is unavailable
	maxParts       = 2                      // answers with changes one after the other, after which all documents are listed
)

// loadDocuments gets the documents from the store or, while it is unavailable,
// from peers, and retries until one of them has answered. It returns false if
// the context ends first.
func (r *Relay) loadDocuments(ctx context.Context) bool {
	wait := minRetryDelay
	for {
		err := r.listAll(ctx)
		if err == nil || r.fetchFromPeers(ctx) || r.Ready() {
			r.options.Log.Info("documents loaded", "fromstore", err == nil)
			return true
		}
		if !clock.Sleep(ctx, r.jitter(wait)) {
			return false
		}
		wait = min(2*wait, maxRetryDelay)
	}
}

// listAll lists the documents of all prefixes and marks the relay as ready.
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

// list reads all documents under a prefix from the store and returns the
// revision up to which they are complete.
func (r *Relay) list(ctx context.Context, prefix string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sent := time.Now()
	listing, err := r.options.Store.List(ctx, prefix)
	r.metrics.watches.WithLabelValues(outcome(err)).Inc()
	if err != nil {
		return 0, &Error{Op: "list", Kind: Store, Err: err}
	}
	r.mu.Lock()
	deleted := r.documents.deletions(prefix, listing)
	r.mu.Unlock()
	r.apply("store", 0, append(listing.Entries, deleted...)...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.markVerified(sent, prefix)
	return listing.Revision, nil
}

// fetchFromPeers fetches from a few peers, or from the seeds while no peer is
// known, and reports whether a ready one answered. It fetches from all of them,
// since some may lack newer documents.
func (r *Relay) fetchFromPeers(ctx context.Context) bool {
	var addresses []string
	for _, daemon := range r.randomPeers(startPeers) {
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
// its failure domain's watchers. On other daemons it lists the prefix from time
// to time, but only while the documents have not been verified for
// maxUnverified.
func (r *Relay) watch(ctx context.Context, prefix string) error {
	var pos watchPosition
	wait := minRetryDelay
	pause := rosterInterval // the roster may still be empty
	for clock.Sleep(ctx, pause) {
		pause = rosterInterval
		switch {
		case r.isWatcher():
			err := r.listOrWatch(ctx, prefix, &pos)
			pause = watchInterval
			if pos.parts > 0 {
				pause = 0
			}
			if err != nil {
				pause = r.jitter(wait)
				wait = min(2*wait, maxRetryDelay)
			} else {
				wait = minRetryDelay
			}
		case time.Since(r.VerifiedAt()) > maxUnverified:
			pos.listed = false
			_, _ = r.list(ctx, prefix) // retried after the pause
			pause = r.jitter(maxUnverified)
		default:
			pos.listed = false
		}
	}
	return nil
}

// watchPosition is how far a watcher has followed the store under a prefix.
type watchPosition struct {
	listed bool   // whether after is valid; if not, the next call is a list
	after  uint64 // revision up to which all changes are known
	parts  int    // answers with changes since the last one that proved that there are no others
}

// isWatcher reports whether this daemon is one of its failure domain's watchers.
func (r *Relay) isWatcher() bool {
	for _, daemon := range Select(r.options.Daemons(), r.options.Domain, "relay", Watchers) {
		if daemon.Id == r.options.Self {
			return true
		}
	}
	return false
}

// listOrWatch makes one call, a list at first and then a watch, and advances the
// position. An answer with changes may hold a part of them, so it verifies nothing: the
// next watch doesn't wait, and its answer without changes does.
func (r *Relay) listOrWatch(ctx context.Context, prefix string, pos *watchPosition) error {
	if !pos.listed || pos.parts >= maxParts {
		revision, err := r.list(ctx, prefix)
		*pos = watchPosition{listed: err == nil, after: revision}
		return err
	}
	wait := watchWait
	if pos.parts > 0 {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	sent := time.Now()
	listing, err := r.options.Store.Watch(ctx, prefix, pos.after, wait)
	r.metrics.watches.WithLabelValues(outcome(err)).Inc()
	if err != nil {
		return &Error{Op: "watch", Kind: Store, Err: err}
	}
	if listing.Compacted {
		pos.listed = false
		return nil
	}
	r.apply("store", 0, listing.Entries...)
	pos.after = max(pos.after, listing.Revision)
	if len(listing.Entries) > 0 {
		pos.parts++
		return nil
	}
	pos.parts = 0
	r.mu.Lock()
	defer r.mu.Unlock()
	r.markVerified(verifiedAsOf(sent, wait), prefix)
	return nil
}

// verifiedAsOf returns the latest time as of which an answer to a watch is known to tell
// that nothing changed. sent is when the request was sent. The store waits for the full
// time before it answers so.
func verifiedAsOf(sent time.Time, wait time.Duration) time.Time {
	if time.Since(sent) >= wait {
		return sent.Add(wait)
	}
	return sent
}

// jitter returns a random duration between d/2 and 3d/2.
func (r *Relay) jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return d/2 + time.Duration(r.random.Int64N(int64(d)))
}
