package pick

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sampled is a policy to compare with.
func sampled(candidates []Candidate, _ float64, random func() float64) int {
	return ChooseSampled(candidates, random)
}

// best is a policy to compare with: the best of all candidates.
func best(candidates []Candidate, _ float64, _ func() float64) int { return Choose(candidates) }

// chooser is a policy of choice, as ChooseStale.
type chooser func(candidates []Candidate, sent float64, random func() float64) int

// scenario is a load that many daemons distribute over endpoints.
type scenario struct {
	daemons, endpoints int
	slots              int // per endpoint
	rate               int // requests per second, each of which takes a second
	reportMillis       int // milliseconds between two reports of all other daemons
}

// fullShare returns the share of requests that are sent to an endpoint with no free
// slot.
func (s scenario) fullShare(choose chooser) float64 {
	const seconds = 12
	r := rand.New(rand.NewPCG(1, 2))
	delay := time.Duration(s.reportMillis) * time.Millisecond / 2
	load := make([]int, s.endpoints)
	heard := make([][]int, s.daemons) // requests of the others, as last reported
	own := make([][]int, s.daemons)
	for d := range heard {
		heard[d] = make([]int, s.endpoints)
		own[d] = make([]int, s.endpoints)
	}
	type end struct{ at, daemon, endpoint int }
	var ends []end
	sent, overfull := 0, 0
	for ms := range seconds * 1000 {
		for len(ends) > 0 && ends[0].at <= ms {
			load[ends[0].endpoint]--
			own[ends[0].daemon][ends[0].endpoint]--
			ends = ends[1:]
		}
		for d := range s.daemons { // the daemons hear reports at different times, 7 ms apart
			if (ms+d*7)%s.reportMillis == 0 {
				for e := range s.endpoints {
					heard[d][e] = load[e] - own[d][e]
				}
			}
		}
		if r.Float64() >= float64(s.rate)/1000 {
			continue
		}
		d := r.IntN(s.daemons)
		candidates := make([]Candidate, s.endpoints)
		for e := range candidates {
			candidates[e] = Candidate{
				Load: heard[d][e] + own[d][e], Expected: expectedLoad(own[d][e], heard[d][e], delay, time.Second),
				Slots: s.slots, Slowdown: 1, SameDomain: true, ReadTime: time.Millisecond,
			}
		}
		e := choose(candidates, expectedSent(float64(s.rate), delay, time.Second), r.Float64)
		sent++
		if load[e] >= s.slots {
			overfull++
		}
		load[e]++
		own[d][e]++
		ends = append(ends, end{ms + 1000, d, e})
	}
	return float64(overfull) / float64(sent)
}

// Daemons that know the same loads, with a delay, must not all choose the same
// endpoint and overload it. Half of the slots are taken in the large scenario, and
// four in five in the small one.
func TestStaleChoiceSpreadsLoad(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		scenario
		all, few float64 // the share is above all for the best of all endpoints, and below few for the policies that take the delay into account
	}{
		{scenario{daemons: 72, endpoints: 40, slots: 20, rate: 400, reportMillis: 450}, 0.03, 0.005},
		{scenario{daemons: 9, endpoints: 20, slots: 17, rate: 270, reportMillis: 110}, 0.03, 0.01},
	} {
		all, few, levelled := c.fullShare(best), c.fullShare(sampled), c.fullShare(ChooseStale)
		t.Logf("%+v: sent to a full endpoint: %.3f by the best of all, %.3f by the best of %d, %.3f levelled", c.scenario, all, few, sampleSize, levelled)
		is.True(all > c.all)
		is.True(few < c.few)
		is.True(levelled < c.few)
	}
}
