package pick

import "time"

// Budget limits the retries that a daemon sends to one service, over a sliding
// window. A retry is each send of a request after its first. The zero value
// allows none.
type Budget struct {
	Ratio  float64 // retries allowed for each request in the window
	Extra  float64 // retries allowed in a window in addition
	Window time.Duration
	Since  time.Time // start of the count; retries sent before are unknown

	requests []time.Time
	retries  []time.Time
}

// Count adds a request to the window.
func (b *Budget) Count(now time.Time) { b.requests = append(trim(b.requests, now.Add(-b.Window)), now) }

// Spending is the answer of a Budget to one retry.
type Spending struct {
	OK      bool
	Spent   int     // retries in the window before this one
	Allowed float64 // limit of retries in the window
}

// Spend allows a retry and counts it, or refuses it. In the first window after
// Since, Extra is reduced to the part of the window that has passed, because the
// retries before Since are unknown.
func (b *Budget) Spend(now time.Time) Spending {
	b.requests = trim(b.requests, now.Add(-b.Window))
	b.retries = trim(b.retries, now.Add(-b.Window))
	extra := b.Extra * min(1, float64(now.Sub(b.Since))/float64(b.Window))
	s := Spending{Spent: len(b.retries), Allowed: b.Ratio*float64(len(b.requests)) + extra}
	s.OK = float64(s.Spent+1) <= s.Allowed
	if s.OK {
		b.retries = append(b.retries, now)
	}
	return s
}

// trim removes the times that are not after the given one, in place.
func trim(times []time.Time, after time.Time) []time.Time {
	i := 0
	for i < len(times) && !times[i].After(after) {
		i++
	}
	return append(times[:0], times[i:]...)
}
