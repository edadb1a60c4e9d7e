package gate

import (
	"cmp"
	"context"
	"slices"
	"time"

	"clementinehead.example/chead/wire"
)

// post is one replica at its gate.
type post struct {
	replica string
	interim bool
	core    *Core
	bar     Bar // when last looked at
	waiters map[uint64]chan *wire.AcquireResponse
	probers map[string]context.CancelFunc // by member address
	feeder  context.CancelFunc
	source  string // address whose cache events are read
}

func newPost(replica string, interim bool, base uint64, book *Book) *post {
	return &post{
		replica: replica,
		interim: interim,
		core:    NewCore(base, book),
		waiters: map[uint64]chan *wire.AcquireResponse{},
		probers: map[string]context.CancelFunc{},
	}
}

// deliver hands answers to those who wait for them. The gate is locked.
func (g *Gate) deliver(p *post, answers []Answer) {
	for _, answer := range answers {
		g.metrics.answers.WithLabelValues(answer.Response.Verdict.String()).Inc()
		waiter, ok := p.waiters[answer.Ask]
		if !ok {
			continue
		}
		delete(p.waiters, answer.Ask)
		waiter <- answer.Response
	}
}

// close ends a post, and hands it over to its next gate unless that is nil.
// The gate is locked.
func (g *Gate) close(p *post, next *wire.Daemon) {
	now := time.Now()
	setup := p.core.setup
	setup.Named, setup.Interim = false, false
	g.deliver(p, p.core.Set(now, setup))
	for _, cancel := range p.probers {
		cancel()
	}
	if p.feeder != nil {
		p.feeder()
	}
	delete(g.posts, p.replica)
	g.metrics.forget(p.replica)
	if next == nil {
		return
	}
	request, left := p.core.Handover(now, g.options.Self, setup.Replica.Fence)
	if left > 0 {
		g.handOver(next, request, left)
	}
}

// report notes a change of what bars a post, and its gauges.
func (g *Gate) report(p *post, now time.Time) {
	status := p.core.Status(now)
	g.metrics.set(status)
	bar := p.core.Bar(now)
	if bar == p.bar {
		return
	}
	g.options.Log.Info("gate changed", "replica", p.replica, "from", p.bar.String(),
		"to", bar.String(), "fence", status.Fence, "interim", status.Interim, "weak", status.Weak)
	p.bar = bar
}

// Status returns the core's state at a moment.
func (c *Core) Status(now time.Time) Status {
	return Status{
		Replica: c.setup.Replica.ID,
		Bar:     c.Bar(now).String(),
		Fence:   c.setup.Replica.Fence,
		Interim: c.setup.Interim,
		Weak:    c.setup.Weak,
		Limit:   c.Limit(),
		Load:    c.ledger.inUse(),
		Lost:    c.ledger.lost,
		Queued:  c.queue.length,
		Done:    c.done - c.cooled,
	}
}

func sortStatus(all []Status) {
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.Replica, b.Replica) })
}
