package tally

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"clementinehead.example/chead/wire"
)

// maxCollectCalls is the largest number of concurrent calls to peers.
const maxCollectCalls = 32

// Report returns a report of the counts in the store, at this daemon and at all
// live peers at the time of the call. A peer that doesn't answer shows as a gap.
// The error is of kind Unreadable if the store doesn't answer or usage counts can't
// be decoded, or of kind Period.
func (r *Replicator) Report(ctx context.Context, q Query) (Report, error) {
	q, err := q.Widen()
	if err != nil {
		return Report{}, err
	}
	requestedAt := time.Now()
	usages, err := ReadHours(ctx, r.options.Store, q)
	if err != nil {
		r.metrics.failures.WithLabelValues("pages").Inc()
		return Report{}, &Error{Op: "report", Kind: Unreadable, Err: err}
	}
	usages = append(usages, r.collect(ctx, q)...)
	return Make(q, usages, requestedAt)
}

func (r *Replicator) collect(ctx context.Context, q Query) []*wire.Sheet {
	request := &wire.CollectRequest{From: q.From.Unix(), Until: q.Until.Unix()}
	var mutex sync.Mutex
	var usages []*wire.Sheet
	add := func(response *wire.CollectResponse) {
		mutex.Lock()
		defer mutex.Unlock()
		usages = append(usages, response.GetSheets()...)
	}
	var group errgroup.Group
	group.SetLimit(maxCollectCalls)
	for _, d := range r.options.Daemons() {
		group.Go(func() error {
			add(r.collectFrom(ctx, d, request))
			return nil
		})
	}
	// The functions return no error: a peer without an answer shows as a gap.
	_ = group.Wait()
	return usages
}

// collectFrom returns the counts of one daemon, nil if it doesn't answer.
func (r *Replicator) collectFrom(ctx context.Context, d *wire.Daemon, request *wire.CollectRequest) *wire.CollectResponse {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if d.Id == r.options.Self {
		response, _ := r.Collect(ctx, request)
		return response
	}
	if d.Standing == wire.Standing_STANDING_DEAD {
		return nil
	}
	response, err := r.options.Client(d.PeerAddress).Collect(ctx, request)
	if err != nil {
		r.metrics.failures.WithLabelValues("collect").Inc()
		return nil
	}
	return response
}
