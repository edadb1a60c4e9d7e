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
	headStart = 300 * time.Millisecond // for the offers to get round before daemons are asked
	asking    = 500 * time.Millisecond // between rounds of questions
	questions = 32                     // in progress
)

// Confirm asks all other daemons until every live one has a revision of a
// document, or a newer one, in force, or until the context ends. It returns the
// ids of those that have not confirmed it: also of dead ones that did not say
// that they leave, for such a one may live behind a partition.
func (r *Relay) Confirm(ctx context.Context, key string, revision uint64) []string {
	waiting := map[string]*wire.Daemon{}
	awaited := map[string]bool{} // live when they were first seen
	confirmed := map[string]bool{}
	clock.Sleep(ctx, headStart)
	for {
		r.join(waiting, awaited, confirmed)
		for _, id := range r.ask(ctx, slices.Collect(maps.Values(waiting)), key, revision) {
			confirmed[id] = true
			delete(waiting, id)
			delete(awaited, id)
		}
		if len(awaited) == 0 || !clock.Sleep(ctx, asking) {
			return slices.Sorted(maps.Keys(waiting))
		}
	}
}

// join adds the daemons of the roster that have to confirm.
func (r *Relay) join(waiting map[string]*wire.Daemon, awaited, confirmed map[string]bool) {
	for _, daemon := range r.options.Daemons() {
		if daemon.Id == r.options.Self || daemon.Left || confirmed[daemon.Id] {
			continue
		}
		waiting[daemon.Id] = daemon
		if daemon.Standing != wire.Standing_STANDING_DEAD {
			awaited[daemon.Id] = true
		}
	}
}

// ask offers a revision to daemons and returns the ids of those that have it
// in force.
func (r *Relay) ask(ctx context.Context, daemons []*wire.Daemon, key string, revision uint64) []string {
	o := offer{hops: farthest}
	if entry, ok := r.Get(key); ok {
		o.entries = append(o.entries, entry)
	}
	var mu sync.Mutex
	var confirmed []string
	var group errgroup.Group
	group.SetLimit(questions)
	for _, daemon := range daemons {
		group.Go(func() error {
			versions, err := r.offerTo(ctx, daemon.PeerAddress, o)
			if err == nil && holds(versions, key, revision) {
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

func holds(versions []*wire.Version, key string, revision uint64) bool {
	for _, version := range versions {
		if version.Key == key && version.Revision >= revision {
			return true
		}
	}
	return false
}
