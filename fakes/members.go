package fakes

import (
	"context"
	"time"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/engine"
)

// memberTimeout bounds a look at one member.
const memberTimeout = 300 * time.Millisecond

// reobserve begins to look at the members of an order. It is called with the
// lock held.
func (l *life) reobserve(order engine.Order) {
	l.stopLooks()
	l.missing = ""
	l.whole = make(chan struct{})
	if l.engine.options.Member == nil || order.Rank != 0 {
		close(l.whole)
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	l.stopLooks = cancel
	l.engine.tasks.Go(func() { l.observe(ctx, order) })
}

// observe looks at the replica's other members again and again until the
// context ends.
func (l *life) observe(ctx context.Context, order engine.Order) {
	boots := map[string]uint64{}
	for {
		l.mark(ctx, l.look(ctx, order, boots))
		if !clock.Sleep(ctx, l.engine.options.Check) {
			return
		}
	}
}

// look returns the address of a member that does not answer as a member of
// the replica with its boot unchanged, or nothing.
func (l *life) look(ctx context.Context, order engine.Order, boots map[string]uint64) string {
	for rank, address := range order.Members {
		if rank == order.Rank {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, memberTimeout)
		report, err := l.engine.options.Member(limited, address)
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

// mark notes which member is missing, if any.
func (l *life) mark(ctx context.Context, missing string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	open := !isClosed(l.whole)
	l.missing = missing
	if open && missing == "" {
		close(l.whole)
	}
	if !open && missing != "" {
		l.whole = make(chan struct{})
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

// together waits until all members of the replica answer. It reports false
// when the context ends before.
func (l *life) together(ctx context.Context) bool {
	for {
		l.mu.Lock()
		whole := l.whole
		l.mu.Unlock()
		if isClosed(whole) {
			return true
		}
		sleepOr(ctx, whole, l.engine.options.Check)
		if ctx.Err() != nil {
			return false
		}
	}
}

// noteIncomplete records a violation when a member is missing at a request's start,
// and was not merely found whole too late.
func (l *life) noteIncomplete(j *job) {
	l.mu.Lock()
	missing := l.missing
	l.mu.Unlock()
	if missing == "" || !clock.Sleep(j.ctx, 2*l.engine.options.Check) {
		return
	}
	l.mu.Lock()
	missing = l.missing
	l.mu.Unlock()
	if missing != "" {
		l.engine.violate(Violation{Breach: Incomplete, Request: j.id, Note: missing, At: j.arrived})
	}
}
