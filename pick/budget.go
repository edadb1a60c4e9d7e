package pick

import (
	"slices"
	"time"
)

// Budget limits the retries that a daemon sends to one service, over a sliding
// window. A retry is each send of a request after its first. The zero value
// allows none.
//
// Two limits hold. The daemon's own is by its own requests and its part of what is allowed
// in addition. It doesn't suffice, since requests move: those of a daemon that ended, or
// that callers left, count anew where they come next, though their retries were sent. So
// retries are denied, too, once all daemons together have sent what is allowed to them.
type Budget struct {
	Ratio    float64 // retries allowed for each request in the window
	Extra    float64 // retries allowed in a window in addition
	Window   time.Duration
	Since    time.Time     // start of the count; retries sent before are unknown
	Shares   int           // daemons that share AllExtra; the others' retries don't count if it is at most 1
	AllExtra float64       // Extra of all daemons together
	News     time.Duration // in which others may send retries that aren't known here

	requests []time.Time
	retries  []time.Time
	others   spent
}

// CountRequest adds a request to the window.
func (b *Budget) CountRequest(now time.Time) {
	b.requests = append(trim(b.requests, now.Add(-b.Window)), now)
}

// RetryDecision is the answer of a Budget to one retry.
type RetryDecision struct {
	Allowed  bool
	Used     int     // retries in the window before this one
	Limit    float64 // limit of retries in the window
	Requests int     // callers' requests in the window
	Shares   int     // as Budget.Shares
	Whole    Total   // of all daemons
}

// AllowRetry allows a retry and counts it, or refuses it.
func (b *Budget) AllowRetry(now time.Time) RetryDecision {
	decision := b.decide(now)
	if decision.Allowed {
		b.retries = append(b.retries, now)
	}
	return decision
}

// decide says whether a retry is allowed now, without counting it. In the first window
// after Since, Extra is reduced to the part of the window that has passed, because the
// retries before Since are unknown.
func (b *Budget) decide(now time.Time) RetryDecision {
	b.requests = trim(b.requests, now.Add(-b.Window))
	b.retries = trim(b.retries, now.Add(-b.Window))
	extra := b.Extra * min(1, float64(now.Sub(b.Since))/float64(b.Window))
	decision := RetryDecision{
		Used: len(b.retries), Limit: b.Ratio*float64(len(b.requests)) + extra,
		Requests: len(b.requests), Shares: b.Shares, Whole: b.total(now),
	}
	decision.Allowed = float64(decision.Used+1) <= decision.Limit && b.hasShare(decision.Whole, now)
	return decision
}

// giveBack removes a retry that was counted at the given time and not sent.
func (b *Budget) giveBack(counted time.Time) {
	if i := slices.IndexFunc(b.retries, counted.Equal); i >= 0 {
		b.retries = slices.Delete(b.retries, i, i+1)
	}
}

// trim removes the times that are not after the given one, in place.
func trim(times []time.Time, after time.Time) []time.Time {
	i := 0
	for i < len(times) && !times[i].After(after) {
		i++
	}
	return append(times[:0], times[i:]...)
}
