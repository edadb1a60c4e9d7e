package pick

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fleet is a load that many daemons place.
type fleet struct {
	daemons, endpoints int
	slots              int // of an endpoint
	rate               int // requests a second, which take a second each
	hears              int // milliseconds between two news of all other daemons
}

// full returns the share of requests that are sent to an endpoint with no free
// place.
func (f fleet) full(choose func([]Candidate, func() float64) int) float64 {
	const seconds = 12
	r := rand.New(rand.NewPCG(1, 2))
	load := make([]int, f.endpoints)
	heard := make([][]int, f.daemons) // the others' requests, as last heard
	own := make([][]int, f.daemons)
	for d := range heard {
		heard[d] = make([]int, f.endpoints)
		own[d] = make([]int, f.endpoints)
	}
	type end struct{ at, daemon, endpoint int }
	var ends []end
	sent, over := 0, 0
	for ms := range seconds * 1000 {
		for len(ends) > 0 && ends[0].at <= ms {
			load[ends[0].endpoint]--
			own[ends[0].daemon][ends[0].endpoint]--
			ends = ends[1:]
		}
		for d := range f.daemons {
			if (ms+d*7)%f.hears == 0 {
				for e := range f.endpoints {
					heard[d][e] = load[e] - own[d][e]
				}
			}
		}
		if r.Float64() >= float64(f.rate)/1000 {
			continue
		}
		d := r.IntN(f.daemons)
		candidates := make([]Candidate, f.endpoints)
		for e := range candidates {
			candidates[e] = Candidate{Load: heard[d][e] + own[d][e], Slots: f.slots, Slow: 1, Near: true, Read: time.Millisecond}
		}
		e := choose(candidates, r.Float64)
		sent++
		if load[e] >= f.slots {
			over++
		}
		load[e]++
		own[d][e]++
		ends = append(ends, end{ms + 1000, d, e})
	}
	return float64(over) / float64(sent)
}

// Half of the places of a large fleet are taken, and four in five of a small one,
// when daemons that all know the same fall upon the same endpoint.
func TestDaemonsSpread(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		fleet
		all, few float64 // bounds of the share
	}{
		{fleet{daemons: 72, endpoints: 40, slots: 20, rate: 400, hears: 450}, 0.03, 0.005},
		{fleet{daemons: 9, endpoints: 20, slots: 17, rate: 270, hears: 110}, 0.03, 0.01},
	} {
		all := c.full(func(c []Candidate, _ func() float64) int { return Choose(c) })
		few := c.full(ChooseAmong)
		t.Logf("%+v: sent to a full endpoint: %.3f by the best of all, %.3f by the best of %d", c.fleet, all, few, sample)
		is.True(all > c.all)
		is.True(few < c.few)
	}
}
