package clock

import (
	"context"
	"time"
)

// Sleep waits for d and returns true, or returns false as soon as the context
// ends. If d is 0 or less it does not wait and returns whether the context is
// still active.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
