package pick

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// crowd is a load that many daemons distribute over endpoints that read one prompt after
// the other. From the third second on, two more endpoints serve, which are empty; in the
// fifth to seventh second more requests arrive.
type crowd struct {
	daemons, endpoints, slots int
	rate, burst               int           // requests per second, usually and in the burst
	news                      time.Duration // between two reports of all other daemons
	read                      time.Duration // to read a prompt
	hold                      time.Duration // for which a request runs
	slack                     time.Duration // for reading, and for waiting for that, if the first event is to be in time
}

const (
	crowdLength = 9 * time.Second
	joinAt      = 2 * time.Second
	burstFrom   = 4 * time.Second
	burstTo     = 7 * time.Second
)

// againAfter is the time after which a request that got no endpoint is tried again.
const againAfter = 100 * time.Millisecond

// attempt is a request that has no endpoint yet.
type attempt struct {
	daemon        int
	arrived, next time.Duration
}

// crowdEndpoint is an endpoint of a crowd.
type crowdEndpoint struct {
	ends  []time.Duration // of the requests in progress, by time
	ready time.Duration   // when it has read all prompts that it has
}

// take runs a request and returns the time until its prompt has been read.
func (e *crowdEndpoint) take(now time.Duration, c crowd) time.Duration {
	begin := max(now, e.ready)
	if full := len(e.ends) - c.slots; full >= 0 {
		begin = max(begin, e.ends[full])
	}
	e.ready = begin + c.read
	e.ends = append(e.ends, e.ready+c.hold)
	return e.ready - now
}

// run returns the requests, those in time among them, and the most that arrived at one
// endpoint in a second as a multiple of the mean.
func (c crowd) run(choose chooser) (all, inTime int, busiest float64) {
	r := rand.New(rand.NewPCG(3, 4))
	endpoints := make([]crowdEndpoint, c.endpoints+2)
	heard := make([][]int, c.daemons)
	own := make([][][]time.Duration, c.daemons)
	for d := range heard {
		heard[d] = make([]int, len(endpoints))
		own[d] = make([][]time.Duration, len(endpoints))
	}
	counts := make([]int, len(endpoints))
	var waiting []attempt
	for now := time.Duration(0); now < crowdLength; now += time.Millisecond {
		serving := c.endpoints
		if now >= joinAt {
			serving = len(endpoints)
		}
		for e := range serving {
			endpoints[e].ends = after(endpoints[e].ends, now)
		}
		for d := range c.daemons {
			if (now+time.Duration(d)*7*time.Millisecond)%c.news == 0 {
				for e := range serving {
					own[d][e] = after(own[d][e], now)
					heard[d][e] = len(endpoints[e].ends) - len(own[d][e])
				}
			}
		}
		if now%time.Second == 0 {
			busiest = max(busiest, peak(counts))
			clear(counts)
		}
		rate := c.rate
		if now >= burstFrom && now < burstTo {
			rate = c.burst
		}
		if r.Float64() < float64(rate)/1000 {
			all++
			waiting = append(waiting, attempt{r.IntN(c.daemons), now, now})
		}
		for range len(waiting) {
			w := waiting[0]
			waiting = waiting[1:]
			if w.next > now {
				waiting = append(waiting, w)
				continue
			}
			d := w.daemon
			candidates := make([]Candidate, serving)
			for e := range candidates {
				own[d][e] = after(own[d][e], now)
				n := len(own[d][e])
				candidates[e] = Candidate{
					Load: n + heard[d][e], Expected: expectedLoad(n, heard[d][e], c.news/2, c.hold),
					Slots: c.slots, Slowdown: 1, SameDomain: true, ReadTime: c.read,
				}
			}
			e := choose(candidates, expectedSent(float64(rate), c.news/2, c.hold), r.Float64)
			if e < 0 {
				waiting = append(waiting, attempt{d, w.arrived, now + againAfter})
				continue
			}
			counts[e]++
			if now-w.arrived+endpoints[e].take(now, c) <= c.slack {
				inTime++
			}
			own[d][e] = append(own[d][e], endpoints[e].ready+c.hold)
		}
	}
	return all, inTime, busiest
}

// after returns the times that are after now.
func after(times []time.Duration, now time.Duration) []time.Duration {
	for len(times) > 0 && times[0] <= now {
		times = times[1:]
	}
	return times
}

// peak returns the greatest count as a multiple of the mean.
func peak(counts []int) float64 {
	sum, most := 0, 0
	for _, n := range counts {
		sum += n
		most = max(most, n)
	}
	if sum == 0 {
		return 0
	}
	return float64(most) * float64(len(counts)) / float64(sum)
}

// Endpoints that serve again look empty to all daemons until they hear of each other's
// requests. They must not get so many at once that those wait for their prompts to be read.
// Nor must, when nearly all are full, the few that don't seem so.
func TestEmptyEndpointsAreNotCrowded(t *testing.T) {
	is := is.New(t)
	var table bytes.Buffer
	for _, load := range []struct{ daemons, burst int }{{66, 560}, {81, 560}, {300, 560}, {81, 720}} {
		c := crowd{
			daemons: load.daemons, endpoints: 20, slots: 34, rate: 300, burst: load.burst, news: 700 * time.Millisecond,
			read: 10 * time.Millisecond, hold: 850 * time.Millisecond, slack: 70 * time.Millisecond,
		}
		results := map[string]int{}
		for _, p := range []struct {
			name   string
			choose chooser
		}{{"best of all", best}, {"best of four", sampled}, {"levelled", ChooseStale}} {
			all, inTime, busiest := c.run(p.choose)
			results[p.name] = inTime
			fmt.Fprintf(&table, "%3d daemons, %3d a second in the burst  %-12s in time %4d of %4d, busiest %4.1f times the mean\n", load.daemons, load.burst, p.name, inTime, all, busiest)
		}
		is.True(results["levelled"] > results["best of four"])
		is.True(results["best of four"] > results["best of all"])
	}
	golden(t, "crowd.golden", table.Bytes())
}
