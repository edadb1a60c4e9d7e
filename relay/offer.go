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
	fanout          = 4  // random peers that are offered a new revision
	maxHops         = 12 // forwarding steps of an offer
	maxQueuedOffers = 64 // further offers are dropped; anti-entropy makes up for them
	offerTimeout    = time.Second
	deliveryTimeout = 2 * time.Second
	deliveryWait    = 2 * time.Second // how long to wait for a requested delivery before requesting it from another peer
)

// offer is a set of new entries to offer to peers.
type offer struct {
	entries []store.Entry
	hops    uint32 // forwarding steps so far
}

// pendingDelivery is a revision whose delivery was requested from a peer.
type pendingDelivery struct {
	revision uint64
	until    time.Time // after this time it may be requested from another peer
}

// shared reports whether the document of a key is distributed among daemons.
func shared(key string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// queueOffer queues an offer, unless it has reached maxHops. If the queue is
// full, the offer is dropped.
func (r *Relay) queueOffer(o offer) {
	if o.hops >= maxHops {
		return
	}
	select {
	case r.offers <- o:
	default:
		r.metrics.calls.WithLabelValues("push", "dropped").Inc()
	}
}

// pushOffers sends queued offers to random peers until the context ends.
func (r *Relay) pushOffers(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case o := <-r.offers:
				for _, peer := range r.randomPeers(fanout) {
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

// offerTo offers entries to a peer, delivers those that the peer wants, and
// returns the versions that the peer then has in force. Failures are not
// retried, since anti-entropy makes up for them.
func (r *Relay) offerTo(ctx context.Context, address string, o offer) ([]*wire.Version, error) {
	request := &wire.PushRequest{Hops: o.hops + 1}
	for _, entry := range o.entries {
		request.Offered = append(request.Offered, &wire.Version{Key: entry.Key, Revision: entry.Revision})
	}
	response, err := r.push(ctx, offerTimeout, address, request)
	if err != nil || len(response.Wanted) == 0 {
		return response.GetVersions(), err
	}
	request = &wire.PushRequest{Hops: o.hops + 1}
	for _, entry := range o.entries {
		if slices.Contains(response.Wanted, entry.Key) {
			request.Documents = append(request.Documents, toWire(entry))
		}
	}
	response, err = r.push(ctx, deliveryTimeout, address, request)
	return response.GetVersions(), err
}

// push makes one Push call and counts its outcome.
func (r *Relay) push(ctx context.Context, limit time.Duration, address string, request *wire.PushRequest) (*wire.PushResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	response, err := r.options.Client(address).Push(ctx, request)
	r.metrics.calls.WithLabelValues("push", outcome(err)).Inc()
	return response, err
}

// livePeers returns the other daemons that are not known to be dead, sorted by
// id.
func (r *Relay) livePeers() []*wire.Daemon {
	var live []*wire.Daemon
	for _, daemon := range r.options.Daemons() {
		if daemon.Id != r.options.Self && daemon.Standing != wire.Standing_STANDING_DEAD {
			live = append(live, daemon)
		}
	}
	slices.SortFunc(live, func(a, b *wire.Daemon) int { return cmp.Compare(a.Id, b.Id) })
	return live
}

// randomPeers returns up to n random daemons of livePeers.
func (r *Relay) randomPeers(n int) []*wire.Daemon {
	live := r.livePeers()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(n, len(live))]
}
