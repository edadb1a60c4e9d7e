package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"clementinehead.example/chead/simul"
)

// Times of the plan of the profile Storms, and the retry budget of all daemons together.
const (
	stormWaves   = 9 * time.Second        // endpoints refuse most requests for so long, then none
	killEvery    = 3 * time.Second        // between two rounds of kills, of which one may begin before the last has ended
	killSpread   = 600 * time.Millisecond // within which the daemons of a round are killed
	maxKilled    = 2500 * time.Millisecond
	budgetWindow = 10 * time.Second
	budgetRatio  = 0.2
)

// planStorms returns the faults of the profile Storms for a seed, sorted by time: rounds in
// which one or more daemons, but not all, are killed, and beside that stops, signals,
// configurations, restarts of endpoints and faults of the store.
func planStorms(seed uint64, length time.Duration, daemons, runners int) []Step {
	r := rand.New(rand.NewPCG(seed, 5))
	var steps []Step
	for at := firstStop; at < length; at += killEvery {
		targets := r.Perm(daemons)[:1+r.IntN(max(1, daemons-1))]
		for _, target := range targets {
			step := Step{At: at + between(r, 0, killSpread), For: between(r, minFault, maxKilled), Fault: KillDaemon, Target: target}
			if r.IntN(5) == 0 {
				step.Fault = StopDaemon
			}
			steps = append(steps, step)
		}
		steps = append(steps, besideSteps(r, at-beforeStop, runners)...)
		if r.IntN(2) == 0 {
			steps = append(steps, Step{At: at + between(r, 0, killEvery), Fault: Hangup, Target: r.IntN(daemons)})
		}
	}
	byTime(steps)
	return steps
}

// checkBudget checks that no service gets more arrivals beyond the first of each request
// than its retry budget allows, in any window, from all daemons together. The budget
// counts the requests of the window, the one before it or the one half a window before it,
// whichever has most.
func (c *cluster) checkBudget(records []record) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.traits.storms {
		return nil
	}
	requests, again := map[bool][]time.Time{}, map[bool][]time.Time{} // by whether they are streams
	for _, rec := range records {
		stream := routes[rec.path].stream
		requests[stream] = append(requests[stream], rec.sent)
		again[stream] = append(again[stream], c.arrivals(rec.id)...)
	}
	var broken []string
	for _, stream := range []bool{true, false} {
		slices.SortFunc(requests[stream], time.Time.Compare)
		slices.SortFunc(again[stream], time.Time.Compare)
		if text := c.overBudget(requests[stream], again[stream]); text != "" {
			broken = append(broken, fmt.Sprintf("BUDGET: streams %t: %s", stream, text))
		}
	}
	return broken
}

// arrivals returns when a request arrived at endpoints, but for the first time.
func (c *cluster) arrivals(id string) []time.Time {
	var times []time.Time
	for _, a := range c.acts[id] {
		if a.Deed == simul.Came {
			times = append(times, a.Time())
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[min(1, len(times)):]
}

// overBudget returns the window in which the retries exceed the budget most, or an empty
// text. The times are sorted.
func (c *cluster) overBudget(requests, again []time.Time) string {
	worst, text := 0.0, strings.Builder{}
	for _, from := range again {
		asked := max(inWindow(requests, from), inWindow(requests, from.Add(-budgetWindow)), inWindow(requests, from.Add(-budgetWindow/2)))
		allowed := budgetRatio*float64(asked) + extraRetries
		sent := inWindow(again, from)
		c.retried = max(c.retried, sent)
		if over := float64(sent) - allowed; over > worst {
			worst = over
			text.Reset()
			fmt.Fprintf(&text, "%d retries in %v from %v after the start, for %d requests, %.0f allowed", sent, budgetWindow, from.Sub(c.began).Round(time.Millisecond), asked, allowed)
		}
	}
	return text.String()
}

// inWindow returns how many of the times, which are sorted, lie in the window from a time
// on.
func inWindow(times []time.Time, from time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(budgetWindow), time.Time.Compare)
	return end - first
}
