package front

import (
	"context"
	"time"

	"clementinehead.example/chead/clock"
)

const (
	startWait = time.Second           // from the start of the daemon, for which requests wait for its first configuration
	startPoll = 10 * time.Millisecond // between two looks
)

// awaitStart waits, shortly after the start of the daemon, until it has a configuration by
// which it may accept keys. When all daemons have started again at the same time, callers
// that come back find none that is further; many of them come back only once.
func (f *Front) awaitStart(ctx context.Context) {
	for !f.started() && time.Since(f.began) < startWait && !f.reached(refusing) {
		if !clock.Sleep(ctx, startPoll) {
			return
		}
	}
}

// started reports whether there is a configuration by which keys may be accepted.
func (f *Front) started() bool {
	return f.options.Snapshot().Config != nil && f.options.MaxKeyAge() > 0
}
