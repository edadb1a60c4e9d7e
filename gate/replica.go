package gate

import (
	"cmp"
	"context"
	"slices"
	"time"

	"clementinehead.example/chead/wire"
)

// replicaGate is the gate of one replica, with the requests that wait for its
// answers.
type replicaGate struct {
	replica      string
	interim      bool // this daemon substitutes for the named gate, which is dead
	core         *Core
	blockReason  Bar                                   // when last logged
	waiters      map[uint64]chan *wire.AcquireResponse // by request number
	cancelProbes map[string]context.CancelFunc         // by member address
	cancelFeed   context.CancelFunc                    // nil while no cache events are read
	feedAddress  string                                // of the member whose cache events are read
}

func newReplicaGate(replica string, interim bool, base uint64, crashes *CrashRecord) *replicaGate {
	return &replicaGate{
		replica:      replica,
		interim:      interim,
		core:         NewCore(base, crashes),
		waiters:      map[uint64]chan *wire.AcquireResponse{},
		cancelProbes: map[string]context.CancelFunc{},
	}
}

// deliver passes answers to the calls of Acquire that wait for them. The caller
// holds g.mu.
func (g *Gate) deliver(r *replicaGate, answers []Answer) {
	for _, answer := range answers {
		g.metrics.answers.WithLabelValues(answer.Response.Verdict.String()).Inc()
		waiter, ok := r.waiters[answer.ID]
		if !ok {
			continue
		}
		delete(r.waiters, answer.ID)
		waiter <- answer.Response
	}
}

// closeGate closes a replica's gate, and hands it over to the next gate unless
// that is nil. The caller holds g.mu.
func (g *Gate) closeGate(r *replicaGate, next *wire.Daemon) {
	now := time.Now()
	setup := r.core.setup
	setup.Named, setup.Interim = false, false
	g.deliver(r, r.core.Set(now, setup))
	for _, cancel := range r.cancelProbes {
		cancel()
	}
	if r.cancelFeed != nil {
		r.cancelFeed()
	}
	delete(g.gates, r.replica)
	g.metrics.forget(r.replica)
	if next == nil {
		return
	}
	request, remaining := r.core.Handover(now, g.options.Self, setup.Replica.Fence)
	if remaining > 0 {
		g.handOver(next, request, remaining)
	}
}

// reportStatus sets the gauges of a replica and logs a change of its block
// reason.
func (g *Gate) reportStatus(r *replicaGate, now time.Time) {
	status := r.core.Status(now)
	g.metrics.set(status)
	reason := r.core.BlockReason(now)
	if reason == r.blockReason {
		return
	}
	g.options.Log.Info("gate changed", "replica", r.replica, "from", r.blockReason.String(),
		"to", reason.String(), "fence", status.Fence, "interim", status.Interim, "weak", status.Reduced)
	r.blockReason = reason
}

// Status returns the core's status at the given time.
func (c *Core) Status(now time.Time) Status {
	return Status{
		Replica:     c.setup.Replica.ID,
		BlockReason: c.BlockReason(now).String(),
		Fence:       c.setup.Replica.Fence,
		Interim:     c.setup.Interim,
		Reduced:     c.setup.Reduced,
		Limit:       c.Limit(),
		Load:        c.ledger.inUse(),
		Lost:        c.ledger.lost,
		Queued:      c.queue.length,
		Done:        c.completed - c.coldBase,
	}
}

func sortStatus(all []Status) {
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.Replica, b.Replica) })
}
