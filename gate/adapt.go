package gate

import (
	"slices"
	"time"
)

// adapt is the limit that follows the endpoint: additive increase and
// multiplicative decrease (Chiu and Jain, "Analysis of the Increase and
// Decrease Algorithms for Congestion Avoidance in Computer Networks", 1989)
// by delay as the signal, as in TCP Vegas (Brakmo, O'Malley and Peterson,
// 1994). The delay is the time to the first token; its base is the smallest
// median of the last minutes.
type adapt struct {
	limit    float64
	samples  []time.Duration // of the present round
	base     time.Duration   // smallest median of the present span
	before   time.Duration   // smallest median of the span before
	span     time.Time       // when the present span began
	bound    bool            // the limit was reached in this round
	lowered  time.Time
	recent   [coldSamples]time.Duration
	recorded int
}

const (
	adaptRound    = 8   // first tokens for one step
	adaptSlow     = 1.5 // times the base at which the limit is lowered
	adaptDecrease = 0.9
	adaptSpan     = time.Minute
	coldSamples   = 8 // first tokens in a row that show a cold endpoint
	coldSlow      = 4 // times the base at which they do
)

// cap returns the limit in requests.
func (a *adapt) cap(full int) int {
	if a.limit == 0 {
		a.limit = float64(full)
	}
	return max(1, min(full, int(a.limit)))
}

// first learns from one time to the first token.
func (a *adapt) first(now time.Time, delay time.Duration, full int) {
	a.recent[a.recorded%coldSamples] = delay
	a.recorded++
	a.samples = append(a.samples, delay)
	if len(a.samples) < adaptRound {
		return
	}
	slices.Sort(a.samples)
	median := a.samples[len(a.samples)/2]
	a.samples = a.samples[:0]
	a.learn(now, median)
	if float64(median) > adaptSlow*float64(a.floor()) {
		a.lower(now)
	} else if a.bound {
		a.limit = min(float64(full), a.limit+1)
	}
	a.bound = false
}

// lower lowers the limit, at most once in the time that a report lags.
func (a *adapt) lower(now time.Time) {
	if a.limit == 0 {
		return
	}
	if !a.lowered.IsZero() && now.Sub(a.lowered) < ReportLag {
		return
	}
	a.lowered = now
	a.limit = max(1, a.limit*adaptDecrease)
}

// learn keeps the smallest median of this span and the one before.
func (a *adapt) learn(now time.Time, median time.Duration) {
	if a.span.IsZero() {
		a.span = now
	}
	if now.Sub(a.span) >= adaptSpan {
		a.before = a.base
		a.base = 0
		a.span = now
	}
	if a.base == 0 || median < a.base {
		a.base = median
	}
}

// floor returns the base of the delay, 0 while none is known.
func (a *adapt) floor() time.Duration {
	if a.base == 0 || (a.before != 0 && a.before < a.base) {
		return a.before
	}
	return a.base
}

// cold reports whether the last first tokens all came as late as those of an
// endpoint that has just started, and forgets them if so.
func (a *adapt) cold() bool {
	base := a.floor()
	if base == 0 || a.recorded < coldSamples {
		return false
	}
	if slices.Min(a.recent[:]) <= coldSlow*base {
		return false
	}
	a.recorded = 0
	return true
}
