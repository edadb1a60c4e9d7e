package clock

import (
	"context"
	"time"
)

// started is when this process began to count beats.
var started = time.Now()

// UntilBeat returns the time until the next beat: the next multiple of a period since this
// process started. What is done periodically is done at beats, so that one wake-up of the
// process serves all of it; it is more than 0 and at most the period.
func UntilBeat(period time.Duration) time.Duration {
	passed := time.Since(started) % period
	if passed < 0 {
		passed += period // on the fake clock of a test
	}
	return period - passed
}

// Beat waits for the next beat of a period and returns true, or returns false as soon as the
// context ends.
func Beat(ctx context.Context, period time.Duration) bool { return Sleep(ctx, UntilBeat(period)) }
