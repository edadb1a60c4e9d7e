package front

import (
	"sync"
	"time"
)

const (
	minPriorTime = 150 * time.Millisecond // least time before the earliest usual deadline from which a request counts as a further try of its caller
	medianStep   = 0.005                  // step of the running median, as a fraction of it
	longestStep  = 0.003                  // by which the longest deadline nears the median with each one, so that a single long one is forgotten
)

// deadlines estimates from the deadlines of each route which requests are further tries of
// their callers: those have less time left than callers usually give. The zero value is
// ready to use.
type deadlines struct {
	mu     sync.Mutex
	routes map[string]*usualDeadline
}

// usualDeadline is what is known of the deadlines that callers of a route give at their first
// try. They need not all be the same.
type usualDeadline struct {
	longest time.Duration
	median  time.Duration // running estimate (Ma, Muthukrishnan and Sandler, "Frugal Streaming for Estimating Quantiles", 2013)
}

// add adds the deadline of a request.
func (u *usualDeadline) add(deadline time.Duration) {
	u.longest -= time.Duration(longestStep * float64(u.longest-u.median))
	u.longest = max(u.longest, deadline)
	step := time.Duration(medianStep * float64(max(u.median, deadline)))
	switch {
	case u.median == 0:
		u.median = deadline
	case deadline > u.median:
		u.median = min(deadline, u.median+step)
	case deadline < u.median:
		u.median = max(deadline, u.median-step)
	}
}

// earliest returns the shortest deadline that callers usually give at their first try. It
// is as far below the median as the longest is above it, since the short side has the
// further tries too.
func (u *usualDeadline) earliest() time.Duration { return 2*u.median - u.longest }

// priorTime returns the time that a caller with a deadline has spent on earlier tries of its
// own, at least, or 0 if this may be its first.
func (d *deadlines) priorTime(route string, deadline time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.routes == nil {
		d.routes = map[string]*usualDeadline{}
	}
	usual, known := d.routes[route]
	if !known {
		usual = &usualDeadline{}
		d.routes[route] = usual
	}
	prior := usual.earliest() - deadline
	usual.add(deadline)
	if prior < minPriorTime {
		return 0
	}
	return prior
}
