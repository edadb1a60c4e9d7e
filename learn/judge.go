package learn

import "time"

// LeastTold is the number of samples from which sums are passed on.
const LeastTold = 0.3

const (
	minSamples  = 12  // from which an endpoint is judged
	clearExcess = 2.0 // multiple of the time expected by the configuration, and of that of the other endpoints, from which an endpoint is limited
	stillExcess = 1.4 // the same from which it stays limited
	needPart    = 0.7 // of the time that callers need which the mean may take: single times are longer
)

// Evidence is what is known of an endpoint, of one kind of time.
type Evidence struct {
	Sums     Sums
	Expected Line          // by the configuration, the zero value if it states none
	Peer     float64       // median of Sums.Ratio over the other endpoints, 0 if none is known
	Need     time.Duration // longest time that callers need, 0 if none is stated
	Slots    int
	Limited  bool // whether it is limited now
}

// Excess returns the mean time as a multiple of what the configuration and the other
// endpoints let expect; 0 if too little is known.
func (e Evidence) Excess() float64 {
	if e.Sums.Samples < minSamples {
		return 0
	}
	return e.excess()
}

func (e Evidence) excess() float64 {
	usual := e.Peer
	if e.Expected.stated() {
		usual = max(1, usual)
	}
	if e.Peer <= 0 || !e.Sums.Sound() {
		return 0
	}
	return e.Sums.Ratio(e.Expected) / usual
}

// Tells reports whether few samples of one daemon let suspect that the endpoint deviates,
// so that it passes them on for the others to add theirs. The fewer there are, the clearer
// they have to be, or single long times would be passed on all the time.
func (e Evidence) Tells() bool {
	return e.Sums.Samples >= LeastTold && e.excess() >= clearExcess*(1+1/e.Sums.Samples)
}

// Confirms reports whether a daemon that heard of a deviation passes its samples on too:
// as long as those of all together show it.
func (e Evidence) Confirms() bool { return e.Limited || e.excess() >= stillExcess }

// Judge returns how many requests in progress the endpoint takes well: the load at which
// the fitted line reaches what callers need. Where the line would begin below 0, the
// endpoint gets less done with more requests, and it is the load from which it deviates.
// It is the slots where the endpoint doesn't deviate, or too little is known.
func Judge(e Evidence) int {
	least := clearExcess
	if e.Limited {
		least = stillExcess
	}
	if !(e.Excess() >= least) { // also where it isn't a number
		return e.Slots
	}
	line := e.Sums.fit(e.Expected)
	limit := line.meets(fitted{base: e.need()}, e.Slots)
	if line.base < 0 {
		limit = min(limit, line.meets(e.deviating(), e.Slots))
	}
	return limit
}

// deviating returns the line of times from which an endpoint deviates.
func (e Evidence) deviating() fitted {
	if !e.Expected.stated() {
		return fitted{base: clearExcess * e.Peer}
	}
	factor := clearExcess * max(1, e.Peer)
	return fitted{base: factor * millis(e.Expected.Base), each: factor * millis(e.Expected.Each)}
}

// Mean returns the mean time.
func (e Evidence) Mean() time.Duration { return e.Sums.Mean() }

// Usual returns the mean time at the same loads that the configuration and the other
// endpoints let expect.
func (e Evidence) Usual() time.Duration {
	excess := e.excess()
	if excess <= 0 {
		return 0
	}
	return fromMillis(e.Sums.mean() / excess)
}

// need returns the mean time in milliseconds that is good enough: what callers need, but
// no less than what the other endpoints give with all slots taken.
func (e Evidence) need() float64 {
	usual := e.Peer
	if e.Expected.stated() {
		usual = max(1, e.Peer) * millis(e.Expected.At(e.Slots))
	}
	if e.Need <= 0 {
		return clearExcess * usual
	}
	return max(needPart*millis(e.Need), usual)
}
