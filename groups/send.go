package groups

import (
	"context"
	"sync"
	"time"

	"clementinehead.example/chead/platform"
)

const (
	orderTimeout = 400 * time.Millisecond // for the call of one order
	maxOrders    = 16                     // orders in progress, but for those older than longCall; more would wait for this process, at the cost of their timeouts
	maxReports   = 16                     // the same of requests for reports
	longCall     = 100 * time.Millisecond // a call in progress for longer waits for its endpoint rather than for this process
)

// send sends an order as soon as fewer than maxOrders are in progress, and records its
// outcome, unless the term has ended. An order that was overtaken while it waited is
// not sent.
func (k *Keeper) send(ctx context.Context, o Order) {
	defer k.wakeUp()
	leave, entered := enter(ctx, k.orderings)
	defer leave()
	if !entered || !k.stillWanted(o) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	sentAt := k.options.Boot()
	done, err := k.options.Engines.SendOrder(ctx, o.To, o.Order)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.planner == nil || k.term != o.Order.Token {
		return // of an earlier term
	}
	k.options.Log.Info("order", "endpoint", o.To.ID, "order", o.Order.Verb.String(), "group", o.Order.Group, "model", o.Order.Model,
		"sequence", o.Order.Sequence, "term", o.Order.Token, "error", errorText(err),
		"calls", len(k.orderings)+len(k.reporting), "late_ms", k.options.Late(sentAt).Milliseconds())
	k.options.Metrics.countOrder(o.Order.Verb, err)
	k.planner.RecordOutcome(o.To.ID, o.Order, done, err)
	r := k.reports[o.To.ID]
	r.lastRequestAt = 0 // request its report without delay
	k.reports[o.To.ID] = r
	if platform.Is(err, platform.Fenced) {
		k.resign("fenced by "+o.To.ID, 0)
	}
}

// stillWanted reports whether an order that waited is to be sent.
func (k *Keeper) stillWanted(o Order) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.planner != nil && k.term == o.Order.Token && k.planner.Sending(o.To.ID, o.Order, k.options.Boot())
}

// enter waits for one of the places of a channel, and reports false if the context ends
// first. The place is held until the returned function is called or for longCall.
func enter(ctx context.Context, places chan struct{}) (leave func(), entered bool) {
	select {
	case places <- struct{}{}:
	case <-ctx.Done():
		return func() {}, false
	}
	release := sync.OnceFunc(func() { <-places })
	timer := time.AfterFunc(longCall, release)
	return func() {
		timer.Stop()
		release()
	}, true
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
