package learn

import (
	"math"
	"time"
)

const (
	halfLife     = 1500 * time.Millisecond // after which a sample has half of its weight
	leastSamples = 1e-6                    // below which nothing is left
	clip         = 4                       // multiple of the usual time at which a sample is cut, so that a single long one says little
	most         = 128                     // samples that a daemon's sums hold; many fast ones of before would hide fewer slow ones
	roundedOff   = 0.99                    // part of the loads that is left after Rounded, at least
	missTime     = 4                       // multiple of what callers need that a rejection or a failure counts as
)

// Sums are sums over samples of a time and the load at which it was seen, each with a
// weight that fades. Those of several daemons add up to the sums over all their samples.
// The zero value has no samples.
type Sums struct {
	Samples  float64 `json:"count,omitempty"`   // sum of the weights
	Loads    float64 `json:"load,omitempty"`    // requests in progress
	Times    float64 `json:"time,omitempty"`    // milliseconds
	Squares  float64 `json:"square,omitempty"`  // of the loads
	Products float64 `json:"product,omitempty"` // of load and time
}

// Add adds a sample. It is cut at clip times the usual time, which is the mean here or at
// the other endpoints, given by usual; 0 means that the latter isn't known.
func (s *Sums) Add(load int, t, usual time.Duration) {
	v := millis(t)
	if mean := max(s.mean(), millis(usual)); mean > 0 {
		v = min(v, clip*mean)
	}
	s.add(float64(load), v)
}

// AddMiss adds a rejection or a failure, where callers need an answer within a time.
func (s *Sums) AddMiss(load int, need time.Duration) { s.add(float64(load), missTime*millis(need)) }

func (s *Sums) add(load, v float64) {
	if s.Samples >= most {
		*s = s.times(1 - 1.0/most)
	}
	s.Samples++
	s.Loads += load
	s.Times += v
	s.Squares += load * load
	s.Products += load * v
}

// mean returns the mean time in milliseconds, 0 without samples.
func (s Sums) mean() float64 {
	if s.Samples <= 0 {
		return 0
	}
	return s.Times / s.Samples
}

// Mean returns the mean time, 0 without samples.
func (s Sums) Mean() time.Duration { return fromMillis(s.mean()) }

// Faded returns the sums as they weigh when a time has passed.
func (s Sums) Faded(passed time.Duration) Sums {
	factor := math.Exp2(-passed.Seconds() / halfLife.Seconds())
	if s.Samples*factor < leastSamples {
		return Sums{}
	}
	return s.times(factor)
}

// times returns the sums with all weights multiplied.
func (s Sums) times(factor float64) Sums {
	return Sums{
		Samples: s.Samples * factor, Loads: s.Loads * factor, Times: s.Times * factor,
		Squares: s.Squares * factor, Products: s.Products * factor,
	}
}

// Plus returns the sums over the samples of both.
func (s Sums) Plus(other Sums) Sums {
	return Sums{
		Samples: s.Samples + other.Samples, Loads: s.Loads + other.Loads, Times: s.Times + other.Times,
		Squares: s.Squares + other.Squares, Products: s.Products + other.Products,
	}
}

// Minus returns the sums without those of other, which may have been passed on a little
// earlier or later; none if hardly a sample is left.
func (s Sums) Minus(other Sums) Sums {
	rest := s.Plus(other.times(-1))
	if rest.Samples < LeastTold || !rest.Sound() {
		return Sums{}
	}
	return rest
}

// Sound reports whether the sums can be those of samples: nothing is negative or infinite,
// and each was seen with a request in progress.
func (s Sums) Sound() bool {
	if s.Loads < roundedOff*s.Samples {
		return false
	}
	for _, v := range []float64{s.Samples, s.Loads, s.Times, s.Squares, s.Products} {
		if !(v >= 0) || math.IsInf(v, 1) {
			return false
		}
	}
	return true
}

// Rounded returns the sums with few digits, which keeps messages short; none if hardly a
// sample is left. The spread of the loads is a small difference of Squares and what follows
// from Samples and Loads, so these two keep more.
func (s Sums) Rounded() Sums {
	if s.Samples < LeastTold {
		return Sums{}
	}
	round := func(v, units float64) float64 { return math.Round(v*units) / units }
	return Sums{
		Samples: round(s.Samples, 1000), Loads: round(s.Loads, 1000), Times: round(s.Times, 10),
		Squares: round(s.Squares, 10), Products: round(s.Products, 10),
	}
}

func fromMillis(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
