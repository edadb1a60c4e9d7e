package keeper

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/fleet"
)

// sendOrders sends the orders that bring the endpoints to the state that the
// fabric domain's value prescribes. For maxOrderDelay after the term's start it
// sends none to endpoints that don't check fencing tokens.
func (t *term) sendOrders(ctx context.Context) {
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for _, command := range fleet.Orders(t.value, t.instances) {
		if !command.ChecksFence && time.Since(t.began) < maxOrderDelay {
			continue // an order of the previous keeper may still be on its way
		}
		group.Go(func() error {
			report, err := t.send(ctx, command)
			mu.Lock()
			defer mu.Unlock()
			t.handleAnswer(command, report, err)
			return nil
		})
	}
	_ = group.Wait()
}

// send sends the order of one command to its endpoint and returns the endpoint's
// report, unless the lease may have lapsed by now.
func (t *term) send(ctx context.Context, command fleet.Command) (engine.Report, error) {
	if !t.keeper.lease.valid() {
		return engine.Report{}, &Error{Op: "order", Kind: Lapsed, Name: command.Instance}
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return t.keeper.options.Order(ctx, command.Address, command.Order)
}

// handleAnswer processes an endpoint's answer to an order. An endpoint that refuses
// the fencing token has received an order of a newer value of the fabric domain, so
// the value known to this term may be outdated and is read again.
func (t *term) handleAnswer(command fleet.Command, report engine.Report, err error) {
	var engineErr *engine.Error
	switch {
	case errors.As(err, &engineErr) && engineErr.Kind == engine.Stale:
		t.valueFresh = false
		t.keeper.metrics.countFailure(&Error{Op: "order", Kind: OrderFailed, Name: command.Instance, Err: err})
	case err != nil:
		t.keeper.metrics.countFailure(&Error{Op: "order", Kind: OrderFailed, Name: command.Instance, Err: err})
	default:
		t.keeper.metrics.countOrder(obeyed(command.Order, report))
		status := t.instances[command.Instance]
		status.Report = report
		t.instances[command.Instance] = status
	}
}

// obeyed reports whether an endpoint's report shows the order.
func obeyed(order engine.Order, report engine.Report) bool {
	return report.Fence == order.Fence && report.Replica == order.Replica
}
