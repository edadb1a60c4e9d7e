package clock

import (
	"context"
	"time"
)

// Sleep waits for a time and returns false when the context ended before. A
// time of 0 or less is no wait.
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
