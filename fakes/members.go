package fakes

import (
	"context"
	"time"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/engine"
)

// memberTimeout is the timeout of the probe of one member.
const memberTimeout = 300 * time.Millisecond

// startChecks starts to probe the other members of an order, if the engine has
// rank 0. It must be called with the lock held.
func (p *process) startChecks(order engine.Order) {
	p.stopChecks()
	p.missing = ""
	p.allPresent = make(chan struct{})
	if p.engine.options.Member == nil || order.Rank != 0 {
		close(p.allPresent)
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	p.stopChecks = cancel
	p.engine.tasks.Go(func() { p.checkMembers(ctx, order) })
}

// checkMembers probes the replica's other members periodically until ctx ends.
func (p *process) checkMembers(ctx context.Context, order engine.Order) {
	boots := map[string]uint64{}
	for {
		p.setMissing(ctx, p.findMissing(ctx, order, boots))
		if !clock.Sleep(ctx, p.engine.options.Check) {
			return
		}
	}
}

// findMissing returns the address of the first member that does not report ready
// as a member of the replica with its boot number unchanged, or an empty string.
func (p *process) findMissing(ctx context.Context, order engine.Order, boots map[string]uint64) string {
	for rank, address := range order.Members {
		if rank == order.Rank {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, memberTimeout)
		report, err := p.engine.options.Member(limited, address)
		cancel()
		if err != nil || report.Replica != order.Replica || report.State != engine.Ready {
			return address
		}
		if before, known := boots[address]; known && before != report.Boot {
			return address
		}
		boots[address] = report.Boot
	}
	return ""
}

// setMissing records which member is missing, or none, and closes or replaces
// allPresent accordingly.
func (p *process) setMissing(ctx context.Context, missing string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	incomplete := !isClosed(p.allPresent)
	p.missing = missing
	if incomplete && missing == "" {
		close(p.allPresent)
	}
	if !incomplete && missing != "" {
		p.allPresent = make(chan struct{})
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// awaitMembers waits until all members of the replica answer. It returns false
// if ctx ends first.
func (p *process) awaitMembers(ctx context.Context) bool {
	for {
		p.mu.Lock()
		complete := p.allPresent
		p.mu.Unlock()
		if isClosed(complete) {
			return true
		}
		sleepOrDone(ctx, complete, p.engine.options.Check)
		if ctx.Err() != nil {
			return false
		}
	}
}

// recordIfIncomplete records a violation if a member is missing at the start of
// a job and also after two more checks. The wait excludes a replica that is
// complete but whose last check is outdated.
func (p *process) recordIfIncomplete(j *job) {
	p.mu.Lock()
	missing := p.missing
	p.mu.Unlock()
	if missing == "" || !clock.Sleep(j.ctx, 2*p.engine.options.Check) {
		return
	}
	p.mu.Lock()
	missing = p.missing
	p.mu.Unlock()
	if missing != "" {
		p.engine.recordViolation(Violation{Breach: Incomplete, Request: j.id, Note: missing, At: j.arrived})
	}
}
