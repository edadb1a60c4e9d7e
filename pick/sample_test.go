package pick

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// crowded plays 72 daemons before 40 endpoints of 20 places: 400 requests a
// second that take a second each, so 10 at each endpoint. A daemon hears of the
// others' requests up to 450 ms late. It returns the share of requests that were
// sent to an endpoint with no free place.
func crowdedShare(choose func([]Candidate, func() float64) int) float64 {
	const (
		daemons   = 72
		endpoints = 40
		slots     = 20
		perSecond = 400
		hears     = 450 // milliseconds between two news of all others
		seconds   = 12
	)
	r := rand.New(rand.NewPCG(1, 2))
	var load [endpoints]int
	var heard [daemons][endpoints]int // the others' requests, as last heard
	var own [daemons][endpoints]int
	type end struct{ at, daemon, endpoint int }
	var ends []end
	sent, over := 0, 0
	for ms := range seconds * 1000 {
		for len(ends) > 0 && ends[0].at <= ms {
			load[ends[0].endpoint]--
			own[ends[0].daemon][ends[0].endpoint]--
			ends = ends[1:]
		}
		for d := range daemons {
			if (ms+d*7)%hears == 0 {
				for e := range endpoints {
					heard[d][e] = load[e] - own[d][e]
				}
			}
		}
		if r.Float64() >= float64(perSecond)/1000 {
			continue
		}
		d := r.IntN(daemons)
		candidates := make([]Candidate, endpoints)
		for e := range candidates {
			candidates[e] = Candidate{Load: heard[d][e] + own[d][e], Slots: slots, Slow: 1, Near: true, Read: time.Millisecond}
		}
		e := choose(candidates, r.Float64)
		sent++
		if load[e] >= slots {
			over++
		}
		load[e]++
		own[d][e]++
		ends = append(ends, end{ms + 1000, d, e})
	}
	return float64(over) / float64(sent)
}

func TestManyDaemonsSpread(t *testing.T) {
	is := is.New(t)
	all := crowdedShare(func(c []Candidate, _ func() float64) int { return Choose(c) })
	few := crowdedShare(ChooseAmong)
	t.Logf("sent to a full endpoint: %.3f by the best of all, %.3f by the best of %d", all, few, sample)
	is.True(all > 0.03)  // the pattern: half of the places are free
	is.True(few < 0.005) // of all
}
