package learn

import (
	"math"
	"time"
)

// lines is the way of this package.
type lines struct {
	of      *replay
	sums    Sums
	load    int // at the latest sample
	limiter Limiter
}

func newLines(r *replay) controller { return &lines{of: r} }

func (c *lines) sample(load int, t, usual time.Duration) {
	c.load = load
	c.sums.Add(load, t, usual)
}

func (c *lines) miss(load int, need time.Duration) { c.sums.AddMiss(load, need) }
func (c *lines) forget()                           { *c = lines{of: c.of} }

func (c *lines) judge(now time.Duration, peer float64) int {
	c.sums = c.sums.Faded(judged)
	e := Evidence{Sums: c.sums, Expected: c.of.expected, Peer: peer, Need: c.of.need, Slots: slots, Limited: c.limiter.Limited()}
	return c.limiter.Step(now, slots, Judge(e), c.load)
}

// round is the samples since the latest adjustment of the ways that were weighed.
type round struct {
	of    *replay
	limit float64
	sums  Sums
	top   int // highest load
}

func (c *round) sample(load int, t, usual time.Duration) {
	c.sums.Add(load, t, usual)
	c.top = max(c.top, load)
}
func (c *round) miss(load int, need time.Duration) { c.sums.AddMiss(load, need) }
func (c *round) forget()                           { *c = round{of: c.of, limit: slots} }

// excess returns that of a round which has enough samples, and 0 otherwise.
func (c *round) excess(peer float64) float64 {
	return Evidence{Sums: c.sums, Expected: c.of.expected, Peer: peer, Slots: slots}.Excess()
}

// aimd raises the limit by one a round, or lowers it by a tenth, by the excess.
type aimd struct{ round }

func newAimd(r *replay) controller { return &aimd{round{of: r, limit: slots}} }

func (c *aimd) judge(_ time.Duration, peer float64) int {
	excess := c.excess(peer)
	switch {
	case excess == 0:
		return int(c.limit)
	case excess >= clearExcess:
		c.limit = max(1, c.limit*0.9)
	case c.top >= int(c.limit):
		c.limit = min(slots, c.limit+1)
	}
	c.sums, c.top = Sums{}, 0
	return int(c.limit)
}

// gradient multiplies the limit by the expected time over that seen, and adds its root to
// probe for more.
type gradient struct{ round }

func newGradient(r *replay) controller { return &gradient{round{of: r, limit: slots}} }

func (c *gradient) judge(_ time.Duration, peer float64) int {
	excess := c.excess(peer)
	if excess == 0 {
		return int(c.limit)
	}
	wanted := c.limit*min(1, max(0.5, clearExcess/excess)) + math.Sqrt(c.limit)
	c.limit = min(slots, max(1, c.limit+0.2*(wanted-c.limit)))
	c.sums = Sums{}
	return int(c.limit)
}

func newNone(*replay) controller { return &none{} }

// none sets no limit.
type none struct{}

func (*none) sample(int, time.Duration, time.Duration) {}
func (*none) miss(int, time.Duration)                  {}
func (*none) judge(time.Duration, float64) int         { return slots }
func (*none) forget()                                  {}
