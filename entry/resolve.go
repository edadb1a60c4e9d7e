package entry

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/wire"
)

const (
	cancelTimeout   = 2 * time.Second        // for one attempt to cancel a run
	resolveTimeout  = 10 * time.Second       // for all attempts to resolve an ending
	resolveInterval = 500 * time.Millisecond // between two attempts
)

// closedByPeer reports whether the other end closed a connection, as happens
// when its process dies. A connection that is only silent says nothing about
// the process.
func closedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// resolve cancels a run whose result nobody waits for, and finds out whether
// the endpoint crashed or restarted during it. Where neither is certain, the
// request may still be running, and the ending returned is ENDING_BROKEN. It is
// called in the background.
func (d *dispatch) resolve(ending wire.Ending) wire.Ending {
	ctx, stop := context.WithTimeout(context.Background(), resolveTimeout)
	defer stop()
	for {
		resolved, ok := d.tryResolve(ctx, ending)
		if ok {
			return resolved
		}
		if !clock.Sleep(ctx, resolveInterval) {
			return wire.Ending_ENDING_BROKEN
		}
	}
}

// tryResolve makes one attempt at resolve and reports whether the ending is
// certain.
func (d *dispatch) tryResolve(ctx context.Context, ending wire.Ending) (wire.Ending, bool) {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	err := d.client.Cancel(ctx, d.permit.address, d.id)
	if err == nil {
		return ending, true
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return wire.Ending_ENDING_CRASHED, true
	}
	var fault *engine.Error
	if !errors.As(err, &fault) || fault.Kind != engine.Gone {
		return ending, false
	}
	if !d.accepted {
		return ending, true
	}
	report, err := d.client.Probe(ctx, d.permit.address)
	if err == nil && report.Boot != d.boot {
		return wire.Ending_ENDING_CRASHED, true
	}
	return ending, err == nil
}
