package gate

import (
	"slices"
	"time"
)

// adaptiveLimit is a limit that follows the endpoint's speed, by additive
// increase and multiplicative decrease (Chiu and Jain, "Analysis of the
// Increase and Decrease Algorithms for Congestion Avoidance in Computer
// Networks", 1989) with delay as the signal, as in TCP Vegas (Brakmo, O'Malley
// and Peterson, 1994). The delay is the time to the first token. Its base is
// the smallest median of the present span and the previous one.
type adaptiveLimit struct {
	limit          float64         // in requests, 0 until first used
	samples        []time.Duration // of the present round
	minMedian      time.Duration   // smallest median of the present span
	priorMinMedian time.Duration   // smallest median of the previous span
	spanStart      time.Time
	reached        bool // the limit was reached in this round
	decreasedAt    time.Time
	recent         [coldSamples]time.Duration // last delays, as a ring buffer
	recorded       int                        // delays recorded since the endpoint last turned cold
}

const (
	adaptRound      = 8           // first tokens per adjustment
	adaptSlowFactor = 1.5         // times the base delay; a larger median lowers the limit
	adaptDecrease   = 0.9         // factor by which the limit is lowered
	adaptSpan       = time.Minute // length of a span, for which the smallest median is kept
	coldSamples     = 8           // consecutive first tokens that show a cold endpoint
	coldSlowFactor  = 4           // times the base delay; later first tokens show a cold endpoint
)

// current returns the limit in requests, at most full.
func (a *adaptiveLimit) current(full int) int {
	if a.limit == 0 {
		a.limit = float64(full)
	}
	return max(1, min(full, int(a.limit)))
}

// addFirstToken processes one time to the first token.
func (a *adaptiveLimit) addFirstToken(now time.Time, delay time.Duration, full int) {
	a.recent[a.recorded%coldSamples] = delay
	a.recorded++
	a.samples = append(a.samples, delay)
	if len(a.samples) < adaptRound {
		return
	}
	slices.Sort(a.samples)
	median := a.samples[len(a.samples)/2]
	a.samples = a.samples[:0]
	a.updateMinMedian(now, median)
	if float64(median) > adaptSlowFactor*float64(a.baseDelay()) {
		a.decrease(now)
	} else if a.reached {
		a.limit = min(float64(full), a.limit+1)
	}
	a.reached = false
}

// decrease lowers the limit, at most once per ReportLag.
func (a *adaptiveLimit) decrease(now time.Time) {
	if a.limit == 0 {
		return
	}
	if !a.decreasedAt.IsZero() && now.Sub(a.decreasedAt) < ReportLag {
		return
	}
	a.decreasedAt = now
	a.limit = max(1, a.limit*adaptDecrease)
}

// updateMinMedian updates the smallest medians of this span and the previous
// one.
func (a *adaptiveLimit) updateMinMedian(now time.Time, median time.Duration) {
	if a.spanStart.IsZero() {
		a.spanStart = now
	}
	if now.Sub(a.spanStart) >= adaptSpan {
		a.priorMinMedian = a.minMedian
		a.minMedian = 0
		a.spanStart = now
	}
	if a.minMedian == 0 || median < a.minMedian {
		a.minMedian = median
	}
}

// baseDelay returns the base of the delay, 0 while none is known.
func (a *adaptiveLimit) baseDelay() time.Duration {
	if a.minMedian == 0 || (a.priorMinMedian != 0 && a.priorMinMedian < a.minMedian) {
		return a.priorMinMedian
	}
	return a.minMedian
}

// detectCold reports whether the last coldSamples first tokens were all as late
// as those of an endpoint that has just started. It then begins a new series of
// samples.
func (a *adaptiveLimit) detectCold() bool {
	base := a.baseDelay()
	if base == 0 || a.recorded < coldSamples {
		return false
	}
	if slices.Min(a.recent[:]) <= coldSlowFactor*base {
		return false
	}
	a.recorded = 0
	return true
}
