package relay

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/wire"
)

const (
	confirmDelay    = 300 * time.Millisecond // before the first calls, so that offers have time to spread
	confirmInterval = 500 * time.Millisecond // between rounds of calls
	maxOfferCalls   = 32                     // calls in progress
)

// AwaitRevision offers a document to all other daemons repeatedly until every live one
// has the revision, or a newer one, in force, or until the context ends. It
// returns the ids of the daemons that have not confirmed it. These include dead
// daemons that did not announce that they leave, because such a daemon may still
// be running behind a network partition.
func (r *Relay) AwaitRevision(ctx context.Context, key string, revision uint64) []string {
	unconfirmed := map[string]*wire.Daemon{}
	required := map[string]bool{} // ids of daemons that AwaitRevision waits for
	confirmed := map[string]bool{}
	clock.Sleep(ctx, confirmDelay)
	for {
		r.addDaemons(unconfirmed, required, confirmed)
		for _, id := range r.queryDaemons(ctx, slices.Collect(maps.Values(unconfirmed)), key, revision) {
			confirmed[id] = true
			delete(unconfirmed, id)
			delete(required, id)
		}
		if len(required) == 0 || !clock.Sleep(ctx, confirmInterval) {
			return slices.Sorted(maps.Keys(unconfirmed))
		}
	}
}

// addDaemons adds the daemons of the roster that have not confirmed to
// unconfirmed, and those that are not dead to required as well. A daemon that
// dies later stays required.
func (r *Relay) addDaemons(unconfirmed map[string]*wire.Daemon, required, confirmed map[string]bool) {
	for _, daemon := range r.options.Daemons() {
		if daemon.Id == r.options.Self || daemon.Left || confirmed[daemon.Id] {
			continue
		}
		unconfirmed[daemon.Id] = daemon
		if daemon.Standing != wire.Standing_STANDING_DEAD {
			required[daemon.Id] = true
		}
	}
}

// queryDaemons offers the current revision of a document to daemons and returns
// the ids of those that have at least the given revision in force.
func (r *Relay) queryDaemons(ctx context.Context, daemons []*wire.Daemon, key string, revision uint64) []string {
	o := offer{hops: maxHops}
	if entry, ok := r.Get(key); ok {
		o.entries = append(o.entries, entry)
	}
	var mu sync.Mutex
	var confirmed []string
	var group errgroup.Group
	group.SetLimit(maxOfferCalls)
	for _, daemon := range daemons {
		group.Go(func() error {
			versions, err := r.offerTo(ctx, daemon.PeerAddress, o)
			if err == nil && hasRevision(versions, key, revision) {
				mu.Lock()
				confirmed = append(confirmed, daemon.Id)
				mu.Unlock()
			}
			return nil
		})
	}
	_ = group.Wait() // its functions return nil
	return confirmed
}

// hasRevision reports whether versions include a key at a revision or a newer
// one.
func hasRevision(versions []*wire.Version, key string, revision uint64) bool {
	for _, version := range versions {
		if version.Key == key && version.Revision >= revision {
			return true
		}
	}
	return false
}
