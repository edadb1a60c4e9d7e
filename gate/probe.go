package gate

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/engine"
)

const (
	feedEvery  = time.Second // least time between reads of cache events, and the timeout of a read
	feedBudget = 500         // bytes of cache events per second, on average
	eventSize  = 80          // bytes of one event in a feed
)

// startProbers keeps one prober running for each member of a replica, and one
// reader of the leader's cache events. The caller holds g.mu.
func (g *Gate) startProbers(ctx context.Context, group *errgroup.Group, r *replicaGate) {
	present := map[string]bool{}
	for _, m := range r.core.members {
		address := m.record.Address
		present[address] = true
		if r.cancelProbes[address] != nil {
			continue
		}
		probeCtx, cancel := context.WithCancel(ctx)
		r.cancelProbes[address] = cancel
		group.Go(func() error { return g.probeLoop(probeCtx, r, address) })
	}
	for address, cancel := range r.cancelProbes {
		if !present[address] {
			cancel()
			delete(r.cancelProbes, address)
		}
	}
	g.startFeed(ctx, group, r)
}

// startFeed starts the reader of the leader's cache events when the leader's
// address has changed. The caller holds g.mu.
func (g *Gate) startFeed(ctx context.Context, group *errgroup.Group, r *replicaGate) {
	if len(r.core.members) == 0 || r.feedAddress == r.core.members[0].record.Address {
		return
	}
	if r.cancelFeed != nil {
		r.cancelFeed()
	}
	address := r.core.members[0].record.Address
	feedCtx, cancel := context.WithCancel(ctx)
	r.feedAddress = address
	r.cancelFeed = cancel
	group.Go(func() error { return g.feedLoop(feedCtx, r, address) })
}

// probeLoop probes one member until the context ends.
func (g *Gate) probeLoop(ctx context.Context, r *replicaGate, address string) error {
	for {
		sent := time.Now()
		report, err := g.probeOnce(ctx, address)
		if ctx.Err() != nil {
			return nil
		}
		g.metrics.countProbe(err)
		pause := ProbeRetry
		if err == nil && g.handleReport(r, sent, address, report) == Open {
			pause = ProbeEvery
		}
		if !clock.Sleep(ctx, pause-time.Since(sent)) {
			return nil
		}
	}
}

// probeOnce probes a member once, for at most ProbeTimeout.
func (g *Gate) probeOnce(ctx context.Context, address string) (engine.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	return g.options.Probe(ctx, address)
}

// handleReport passes a report to the core and returns the core's block reason.
func (g *Gate) handleReport(r *replicaGate, sent time.Time, address string, report engine.Report) Bar {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(r, r.core.Probe(now, sent, address, report))
	g.signalCrashes()
	return r.core.BlockReason(now)
}

// feedLoop reads a member's cache events until the context ends, at a rate
// within feedBudget.
func (g *Gate) feedLoop(ctx context.Context, r *replicaGate, address string) error {
	for {
		pause := g.readFeed(ctx, r, address)
		if !clock.Sleep(ctx, pause) {
			return nil
		}
	}
}

// readFeed reads the cache events once and returns the time until the next
// read.
func (g *Gate) readFeed(ctx context.Context, r *replicaGate, address string) time.Duration {
	g.mu.Lock()
	after := r.core.LastEvent()
	g.mu.Unlock()
	requested := time.Now()
	ctx, cancel := context.WithTimeout(ctx, feedEvery)
	defer cancel()
	feed, err := g.options.Feed(ctx, address, after)
	if err != nil {
		return feedEvery
	}
	g.mu.Lock()
	r.core.Feed(requested, feed)
	g.mu.Unlock()
	return max(feedEvery, time.Duration(len(feed.Events)*eventSize)*time.Second/feedBudget)
}
