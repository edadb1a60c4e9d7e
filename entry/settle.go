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
	maxCancel  = 2 * time.Second        // for one call to an endpoint
	maxSettle  = 10 * time.Second       // for finding out what became of a run
	settleWait = 500 * time.Millisecond // between two looks at an endpoint
)

// brokeOff reports whether the other end broke a connection, as a process that
// dies does. A connection that is only silent tells nothing of the process.
func brokeOff(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// settle tells the endpoint to stop a run that nobody waits for, and finds out
// whether the endpoint died or restarted under it. Where neither is certain,
// the request may still be running, and the ending says so. It is called
// behind the caller's back.
func (d *dispatch) settle(ending wire.Ending) wire.Ending {
	ctx, stop := context.WithTimeout(context.Background(), maxSettle)
	defer stop()
	for {
		settled, ok := d.look(ctx, ending)
		if ok {
			return settled
		}
		if !clock.Sleep(ctx, settleWait) {
			return wire.Ending_ENDING_BROKEN
		}
	}
}

// look makes one attempt at settle.
func (d *dispatch) look(ctx context.Context, ending wire.Ending) (wire.Ending, bool) {
	ctx, stop := context.WithTimeout(ctx, maxCancel)
	defer stop()
	err := d.client.Cancel(ctx, d.permit.target, d.id)
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
	if !d.opened {
		return ending, true
	}
	report, err := d.client.Probe(ctx, d.permit.target)
	if err == nil && report.Boot != d.boot {
		return wire.Ending_ENDING_CRASHED, true
	}
	return ending, err == nil
}
