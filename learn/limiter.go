package learn

import (
	"math"
	"time"
)

const (
	halving  = 300 * time.Millisecond // in which a limit may fall by half
	doubling = time.Second            // in which the speed of a rise doubles
	rise     = 1.0                    // requests per second by which a limit rises at first
	reached  = 0.75                   // part of a limit from which a load uses it
	maxStep  = time.Second            // longest time for which a limit is moved at once
)

// Limiter is the limit of one endpoint. It follows what Judge returns: quickly down, and
// ever faster up while the load reaches it. A rise begins slowly, as an endpoint that takes
// no more shows it by the first requests beyond, and these stay. The zero value has no
// limit.
type Limiter struct {
	limit float64 // in requests; 0 if there is none
	at    time.Duration
	rises time.Duration // for which the limit has risen while the load reached it
}

// Limited reports whether there is a limit.
func (l *Limiter) Limited() bool { return l.limit > 0 }

// Step moves the limit towards a goal, and returns it: at least 1 and at most the slots.
// The argument now is any clock that doesn't go back.
func (l *Limiter) Step(now time.Duration, slots, goal, load int) int {
	passed := min(now-l.at, maxStep)
	l.at = now
	if !l.Limited() {
		if goal >= slots {
			return slots
		}
		l.limit = float64(slots)
		return slots
	}
	if float64(goal) < l.limit {
		l.rises = 0
		l.limit = max(float64(goal), l.limit*math.Exp2(-passed.Seconds()/halving.Seconds()))
	} else {
		speed := rise * math.Exp2(l.rises.Seconds()/doubling.Seconds())
		l.limit = min(float64(goal), l.limit+speed*passed.Seconds())
		l.rises += passed
		if float64(load) < reached*l.limit {
			l.rises = 0
		}
	}
	if l.limit >= float64(slots) {
		l.limit = 0
	}
	return l.Slots(slots)
}

// Slots returns the slots of an endpoint, or the limit if that is lower.
func (l *Limiter) Slots(slots int) int {
	if !l.Limited() {
		return slots
	}
	return max(1, min(slots, int(l.limit)))
}
