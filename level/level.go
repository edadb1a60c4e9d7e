package level

import (
	"cmp"
	"math"
	"slices"
)

// Endpoint is an endpoint as Fill sees it.
type Endpoint struct {
	Level float64 // present level, in any unit that is the same for all
	Rise  float64 // by which each request raises the level; above 0
	Room  float64 // requests that it may take; above 0
}

// Fill divides n requests among endpoints: each is filled up to the same level, as far as
// it has room and isn't above that level already. It returns the requests for each
// endpoint, which add up to n, or to all the room that there is.
func Fill(endpoints []Endpoint, n float64) []float64 {
	shares := make([]float64, len(endpoints))
	if n <= 0 || len(endpoints) == 0 {
		return shares
	}
	to := levelAfter(endpoints, n)
	for i, e := range endpoints {
		shares[i] = e.takes(to)
	}
	return shares
}

// takes returns the requests by which the endpoint reaches a level.
func (e Endpoint) takes(to float64) float64 {
	return min(e.Room, max(0, (to-e.Level)/e.Rise))
}

// bound is a level at which an endpoint begins to take requests, or is full.
type bound struct {
	at   float64
	rate float64 // change of the requests that all endpoints take for each unit of the level
}

// levelAfter returns the level that n requests fill the endpoints up to, positive infinity
// if there is less room.
func levelAfter(endpoints []Endpoint, n float64) float64 {
	bounds := make([]bound, 0, 2*len(endpoints))
	for _, e := range endpoints {
		bounds = append(bounds, bound{e.Level, 1 / e.Rise}, bound{e.Level + e.Room*e.Rise, -1 / e.Rise})
	}
	slices.SortFunc(bounds, func(a, b bound) int { return cmp.Compare(a.at, b.at) })
	at, rate, filled := bounds[0].at, 0.0, 0.0
	for _, b := range bounds {
		step := rate * (b.at - at)
		if rate > 0 && filled+step >= n {
			return at + (n-filled)/rate
		}
		filled += step
		rate += b.rate
		at = b.at
	}
	return math.Inf(1)
}

// Draw returns an index at random, with a probability proportional to its share, or -1 if
// all shares are 0. The argument random is a random number in [0, 1).
func Draw(shares []float64, random float64) int {
	total := 0.0
	for _, s := range shares {
		total += s
	}
	last := -1
	left := random * total
	for i, s := range shares {
		if s <= 0 {
			continue
		}
		last = i
		left -= s
		if left < 0 {
			return i
		}
	}
	return last
}
