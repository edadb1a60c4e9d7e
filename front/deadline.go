package front

import (
	"sync"
	"time"
)

// minPriorTime is the difference from the longest deadline of a route from which a
// request is taken to be a further try of its caller.
const minPriorTime = 150 * time.Millisecond

// deadlines holds the longest deadline received on each route. A caller that sends
// a shorter one is taken to have spent the difference on earlier tries of its own.
// The zero value is ready to use.
type deadlines struct {
	mu      sync.Mutex
	longest map[string]time.Duration // by route
}

// priorTime returns the time that a caller with a deadline has spent on earlier
// tries of its own, or 0 if this seems to be its first.
func (d *deadlines) priorTime(route string, deadline time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.longest == nil {
		d.longest = map[string]time.Duration{}
	}
	if deadline > d.longest[route] {
		d.longest[route] = deadline
	}
	prior := d.longest[route] - deadline
	if prior < minPriorTime {
		return 0
	}
	return prior
}
