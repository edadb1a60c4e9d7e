package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"clementinehead.example/chead/simul"
)

// Bounds of what an endpoint gets while it states a limit.
const (
	limitSpan   = 4 * time.Second // over which requests are counted
	limitFactor = 1.5             // multiple of what the limit allows
	limitExtra  = 5               // further requests
	limitNotice = time.Second     // from a statement until it counts
	limitPeriod = 5 * time.Second // for which an endpoint states the same
)

// statedLimit returns the limit that an endpoint states in the profile Limits, in requests
// per second: from one to four, by seed and endpoint. In turn it states none, this one and
// twice this one.
func statedLimit(seed uint64, runner int) float64 { return 1 + float64((seed+uint64(runner))%4) }

// statement is a span in which an endpoint stated the same limit in all its answers.
type statement struct {
	limit    float64 // 0 for none
	from, to time.Time
}

// statements returns what an endpoint stated, by the answers that it gave.
func (c *cluster) statements(runner string) []statement {
	var gave []simul.Act
	for _, acts := range c.acts {
		for _, a := range acts {
			if a.Runner == runner && a.Deed == simul.Gave {
				gave = append(gave, a)
			}
		}
	}
	slices.SortFunc(gave, func(a, b simul.Act) int { return cmp.Compare(a.At, b.At) })
	var all []statement
	for _, a := range gave {
		if n := len(all); n == 0 || all[n-1].limit != a.Limit {
			all = append(all, statement{limit: a.Limit, from: a.Time()})
		}
		all[len(all)-1].to = a.Time()
	}
	return all
}

// checkLimits checks that endpoints that state a limit get hardly more, from all daemons
// that were not disturbed together. An endpoint that was disturbed may have forgotten it.
func (c *cluster) checkLimits(records []record) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	daemons := map[string]int{}
	for _, rec := range records {
		daemons[rec.id] = rec.daemon
	}
	var broken []string
	for i, r := range c.runners {
		for _, s := range c.statements(r.name) {
			if s.limit == 0 || c.disturbed(i, s.from, s.to, KillRunner, PauseRunner, CutRunner) {
				continue
			}
			came := c.came(r.name, s.from.Add(limitNotice), s.to, daemons)
			most := mostWithin(came, limitSpan)
			c.limited++
			if float64(most) > limitFactor*s.limit*limitSpan.Seconds()+limitExtra {
				broken = append(broken, fmt.Sprintf("LIMIT: %s got %d requests in %v, from %v to %v, at a limit of %v a second", r.name, most, limitSpan, s.from, s.to, s.limit))
			}
		}
	}
	return broken
}

// came returns when requests of daemons that were not disturbed came to an endpoint within
// a span, in order. The daemons are given by request.
func (c *cluster) came(runner string, from, to time.Time, daemons map[string]int) []time.Time {
	var times []time.Time
	for id, acts := range c.acts {
		daemon, known := daemons[id]
		for _, a := range acts {
			if known && a.Runner == runner && a.Deed == simul.Came && !a.Time().Before(from) && !a.Time().After(to) && c.inTouch(daemon, a.Time(), a.Time()) {
				times = append(times, a.Time())
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// mostWithin returns the largest number of times within a span.
func mostWithin(times []time.Time, span time.Duration) (most int) {
	first := 0
	for i, t := range times {
		for t.Sub(times[first]) >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
