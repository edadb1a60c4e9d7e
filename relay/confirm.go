package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"clementinehead.example/chead/wire"
)

const (
	headStart = 300 * time.Millisecond // for the offers to get round before daemons are asked
	asking    = 500 * time.Millisecond // between rounds of questions
	questions = 32                     // in progress
)

// Confirm asks every live daemon until all have a revision of a document, or a
// newer one, in force, and returns the ids of those that have not confirmed it
// when the context ends.
func (r *Relay) Confirm(ctx context.Context, key string, revision uint64) []string {
	confirmed := map[string]bool{}
	sleep(ctx, headStart)
	for {
		missing := r.missing(confirmed)
		if len(missing) == 0 || ctx.Err() != nil {
			return ids(missing)
		}
		for _, id := range r.ask(ctx, missing, key, revision) {
			confirmed[id] = true
		}
		missing = r.missing(confirmed)
		if len(missing) == 0 || !sleep(ctx, asking) {
			return ids(missing)
		}
	}
}

func (r *Relay) missing(confirmed map[string]bool) []*wire.Daemon {
	return slices.DeleteFunc(r.live(), func(d *wire.Daemon) bool { return confirmed[d.Id] })
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

func ids(daemons []*wire.Daemon) []string {
	ids := make([]string, 0, len(daemons))
	for _, daemon := range daemons {
		ids = append(ids, daemon.Id)
	}
	return ids
}
