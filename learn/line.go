package learn

import "time"

// Line is a time that grows with the load: Base + load * Each. The zero value states none.
type Line struct {
	Base time.Duration
	Each time.Duration // added by each request in progress
}

// At returns the time at a load.
func (l Line) At(load int) time.Duration { return l.Base + time.Duration(load)*l.Each }

// Times returns the line with both parts multiplied.
func (l Line) Times(factor float64) Line {
	return Line{Base: time.Duration(float64(l.Base) * factor), Each: time.Duration(float64(l.Each) * factor)}
}

// stated reports whether the line states anything.
func (l Line) stated() bool { return l.Base > 0 || l.Each > 0 }

// Ratio returns the mean time as a multiple of that of a line at the same loads, or in
// milliseconds if the line states none; 0 without samples.
func (s Sums) Ratio(expected Line) float64 {
	if s.Samples <= 0 {
		return 0
	}
	if !expected.stated() {
		return s.mean()
	}
	return s.Times / (s.Samples*millis(expected.Base) + s.Loads*millis(expected.Each))
}

const (
	priorSpread = 32  // spread of loads, as the sum of squared deviations, from which the samples count for more than the expected slope
	leastSlope  = 0.5 // part of the expected slope that the fitted line has at least: after a change, old samples at high loads and new ones at low loads would give a falling line
)

// slope returns the milliseconds that each request in progress adds, by least squares with
// the expected slope as a prior: without it, samples at hardly differing loads would give
// any slope. Where none is expected, it is that of a server that divides its speed among
// its requests.
func (s Sums) slope(expected Line) float64 {
	load := s.Loads / s.Samples
	prior := s.mean() / (1 + load)
	if expected.stated() {
		prior = s.Ratio(expected) * millis(expected.Each)
	}
	spread := max(0, s.Squares-load*s.Loads)
	joint := s.Products - load*s.Times
	return max(leastSlope*prior, (joint+priorSpread*prior)/(spread+priorSpread))
}

// fitted is the fitted line, in milliseconds.
type fitted struct{ base, each float64 }

func (s Sums) fit(expected Line) fitted {
	each := s.slope(expected)
	return fitted{base: s.mean() - each*s.Loads/s.Samples, each: each}
}

// meets returns the load at which the line reaches another one that is less steep, between
// 1 and the slots.
func (f fitted) meets(other fitted, slots int) int {
	steeper := f.each - other.each
	switch {
	case steeper > 0:
		return int(min(float64(slots), max(1, (other.base-f.base)/steeper)))
	case f.base < other.base:
		return slots
	}
	return 1
}
