package relay

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"clementinehead.example/chead/store"
	"clementinehead.example/chead/wire"
)

const (
	fanout   = 4               // random peers that are offered a new revision
	farthest = 12              // hops of an offer
	backlog  = 64              // offers waiting; what is over is left to anti-entropy
	offering = time.Second     // limit of an offer
	delivery = 2 * time.Second // limit of a delivery
	waiting  = 2 * time.Second // how long a delivery is awaited before it is asked of another
)

// offer is a set of fresh entries to be passed on.
type offer struct {
	entries []store.Entry
	hops    uint32
}

// awaited is a revision that a peer was asked to deliver.
type awaited struct {
	revision uint64
	until    time.Time
}

// spread reports whether a key's document is spread between daemons.
func spread(key string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

func (r *Relay) pushLater(o offer) {
	if o.hops >= farthest {
		return
	}
	select {
	case r.offers <- o:
	default:
		r.metrics.calls.WithLabelValues("push", "dropped").Inc()
	}
}

// pushOffers passes offers on to random peers until the context ends.
func (r *Relay) pushOffers(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case o := <-r.offers:
				for _, peer := range r.pick(fanout) {
					group.Go(func() error {
						_, _ = r.offerTo(ctx, peer.PeerAddress, o)
						return nil
					})
				}
			}
		}
	})
	return group.Wait()
}

// offerTo names revisions to a peer, delivers those that it wants, and returns
// the versions that it holds then. Failing is left to anti-entropy.
func (r *Relay) offerTo(ctx context.Context, address string, o offer) ([]*wire.Version, error) {
	request := &wire.PushRequest{Hops: o.hops + 1}
	for _, entry := range o.entries {
		request.Offered = append(request.Offered, &wire.Version{Key: entry.Key, Revision: entry.Revision})
	}
	response, err := r.push(ctx, offering, address, request)
	if err != nil || len(response.Wanted) == 0 {
		return response.GetVersions(), err
	}
	request = &wire.PushRequest{Hops: o.hops + 1}
	for _, entry := range o.entries {
		if slices.Contains(response.Wanted, entry.Key) {
			request.Documents = append(request.Documents, pack(entry))
		}
	}
	response, err = r.push(ctx, delivery, address, request)
	return response.GetVersions(), err
}

func (r *Relay) push(ctx context.Context, limit time.Duration, address string, request *wire.PushRequest) (*wire.PushResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	response, err := r.options.Client(address).Push(ctx, request)
	r.metrics.calls.WithLabelValues("push", outcome(err)).Inc()
	return response, err
}

// live returns the other daemons that may answer, by id.
func (r *Relay) live() []*wire.Daemon {
	var live []*wire.Daemon
	for _, daemon := range r.options.Daemons() {
		if daemon.Id != r.options.Self && daemon.Standing != wire.Standing_STANDING_DEAD {
			live = append(live, daemon)
		}
	}
	slices.SortFunc(live, func(a, b *wire.Daemon) int { return cmp.Compare(a.Id, b.Id) })
	return live
}

// pick returns up to n random live daemons.
func (r *Relay) pick(n int) []*wire.Daemon {
	live := r.live()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(n, len(live))]
}
