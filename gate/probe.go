package gate

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"clementinehead.example/chead/engine"
)

const (
	feedEvery  = time.Second
	feedBudget = 500 // bytes a second of cache events, on average
	eventSize  = 80  // bytes of one event in a feed
)

// watch keeps one prober for each member of a post, and one reader of the
// first member's cache events. The gate is locked.
func (g *Gate) watch(ctx context.Context, group *errgroup.Group, p *post) {
	present := map[string]bool{}
	for _, m := range p.core.members {
		address := m.record.Address
		present[address] = true
		if p.probers[address] != nil {
			continue
		}
		probing, cancel := context.WithCancel(ctx)
		p.probers[address] = cancel
		group.Go(func() error { return g.probe(probing, p, address) })
	}
	for address, cancel := range p.probers {
		if !present[address] {
			cancel()
			delete(p.probers, address)
		}
	}
	g.watchFeed(ctx, group, p)
}

func (g *Gate) watchFeed(ctx context.Context, group *errgroup.Group, p *post) {
	if len(p.core.members) == 0 || p.source == p.core.members[0].record.Address {
		return
	}
	if p.feeder != nil {
		p.feeder()
	}
	address := p.core.members[0].record.Address
	reading, cancel := context.WithCancel(ctx)
	p.source = address
	p.feeder = cancel
	group.Go(func() error { return g.read(reading, p, address) })
}

// probe probes one member until the context ends.
func (g *Gate) probe(ctx context.Context, p *post, address string) error {
	for {
		sent := time.Now()
		report, err := g.probeOnce(ctx, address)
		if ctx.Err() != nil {
			return nil
		}
		g.metrics.probe(err)
		pause := ProbeSoon
		if err == nil && g.learn(p, sent, address, report) == Open {
			pause = ProbeEvery
		}
		if !sleep(ctx, pause-time.Since(sent)) {
			return nil
		}
	}
}

func (g *Gate) probeOnce(ctx context.Context, address string) (engine.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	return g.options.Probe(ctx, address)
}

// learn gives a report to the core and returns what keeps it from giving
// permits.
func (g *Gate) learn(p *post, sent time.Time, address string, report engine.Report) Bar {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(p, p.core.Probe(now, sent, address, report))
	g.announce()
	return p.core.Bar(now)
}

// read reads a member's cache events until the context ends, seldom enough to
// stay within feedBudget.
func (g *Gate) read(ctx context.Context, p *post, address string) error {
	for {
		pause := g.readOnce(ctx, p, address)
		if !sleep(ctx, pause) {
			return nil
		}
	}
}

func (g *Gate) readOnce(ctx context.Context, p *post, address string) time.Duration {
	g.mu.Lock()
	after := p.core.After()
	g.mu.Unlock()
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, feedEvery)
	defer cancel()
	feed, err := g.options.Feed(ctx, address, after)
	if err != nil {
		return feedEvery
	}
	g.mu.Lock()
	p.core.Feed(asked, feed)
	g.mu.Unlock()
	return max(feedEvery, time.Duration(len(feed.Events)*eventSize)*time.Second/feedBudget)
}

// sleep waits and returns false when the context ended.
func sleep(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
