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

// order sends the orders that make the endpoints what the value says.
func (t *tenure) order(ctx context.Context) {
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(probesAtOnce)
	for _, command := range fleet.Orders(t.value, t.seen) {
		if !command.Checks && time.Since(t.began) < longestOrder {
			continue // an order of the keeper before may still be on its way
		}
		group.Go(func() error {
			report, err := t.send(ctx, command)
			mu.Lock()
			defer mu.Unlock()
			t.answered(command, report, err)
			return nil
		})
	}
	_ = group.Wait()
}

// send sends one order, if the lease can't have lapsed until now.
func (t *tenure) send(ctx context.Context, command fleet.Command) (engine.Report, error) {
	if !t.k.lease.valid() {
		return engine.Report{}, &Error{Op: "order", Kind: Lapsed, Name: command.Instance}
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return t.k.o.Order(ctx, command.Address, command.Order)
}

// answered takes in what an endpoint says after an order. One that refuses the
// fencing number has a later order: this value is an old one.
func (t *tenure) answered(command fleet.Command, report engine.Report, err error) {
	var fault *engine.Error
	switch {
	case errors.As(err, &fault) && fault.Kind == engine.Stale:
		t.known = false
		t.k.meter.failed(&Error{Op: "order", Kind: Ordered, Name: command.Instance, Err: err})
	case err != nil:
		t.k.meter.failed(&Error{Op: "order", Kind: Ordered, Name: command.Instance, Err: err})
	default:
		t.k.meter.ordered(obeyed(command.Order, report))
		seen := t.seen[command.Instance]
		seen.Report = report
		t.seen[command.Instance] = seen
	}
}

// obeyed reports whether an endpoint reports what it was ordered.
func obeyed(order engine.Order, report engine.Report) bool {
	return report.Fence == order.Fence && report.Replica == order.Replica
}
