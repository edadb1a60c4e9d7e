package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Times of the plan of the profile Cuts.
const (
	cutRound   = 12 * time.Second       // between two rounds of cuts
	cutSpread  = time.Second            // within which the cuts of a round begin
	minCut     = 5 * time.Second        // shortest cut that lasts
	maxCut     = 8 * time.Second        // bound of one, which is shorter
	minFlap    = 200 * time.Millisecond // shortest cut that comes and goes
	maxFlap    = 900 * time.Millisecond // bound of one, which is shorter
	flaps      = 3                      // of them in a row, before one that lasts
	enoughCuts = 20                     // requests on both sides, for a comparison
)

// endpointCuts are the ways in which daemons are cut off from all endpoints.
var endpointCuts = []Cut{Silent, Reset, Refuse}

// planCuts returns the faults of the profile Cuts for a seed, sorted by time: rounds in
// which one or more daemons, but not all, are cut off from all endpoints, and beside that
// stops, signals, configurations, settings, restarts of endpoints and faults of the store.
func planCuts(seed uint64, length time.Duration, daemons, runners int) []Step {
	r := rand.New(rand.NewPCG(seed, 2))
	var steps []Step
	for at := firstStop; at < length; at += cutRound {
		how := endpointCuts[r.IntN(len(endpointCuts))]
		targets := r.Perm(daemons)[:1+r.IntN(max(1, daemons-1))]
		for _, target := range targets {
			steps = append(steps, cutSteps(r, at+between(r, 0, cutSpread), target, how)...)
		}
		if r.IntN(2) == 0 {
			steps = append(steps, stopSteps(r, at+between(r, 0, maxCut), r.IntN(daemons))...)
		}
		steps = append(steps, besideSteps(r, at-beforeStop, runners)...)
	}
	byTime(steps)
	return steps
}

// cutSteps returns the cut of one daemon, which in one case of three comes and goes first.
func cutSteps(r *rand.Rand, at time.Duration, target int, how Cut) []Step {
	var steps []Step
	if r.IntN(3) == 0 {
		for range flaps {
			flap := between(r, minFlap, maxFlap)
			steps = append(steps, Step{At: at, For: flap, Fault: CutEndpoints, Target: target, Cut: how})
			at += flap + between(r, minFlap, maxFlap)
		}
	}
	return append(steps, Step{At: at, For: between(r, minCut, maxCut), Fault: CutEndpoints, Target: target, Cut: how})
}

// cutEndpoints cuts a daemon off from all endpoints for the duration of a step. The number n
// identifies the step.
func (c *cluster) cutEndpoints(n int, s Step) {
	source := sourceOf(s.Target)
	for _, r := range c.runners {
		r.path.SetFrom(n, s.Cut, source)
	}
	time.Sleep(s.For)
	for _, r := range c.runners {
		r.path.SetFrom(n, Pass, source)
	}
}

// sourceOf returns the address that a daemon's connections come from.
func sourceOf(daemon int) string { return fmt.Sprintf("127.0.1.%d", daemon+1) }

// checkCuts checks that daemons that are cut off from all endpoints serve at least two thirds
// as often as the others, from contact after the cut began, where over ten requests and one
// in fifty fail.
func (c *cluster) checkCuts(records []record) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var broken []string
	for _, f := range c.faults {
		if f.step.Fault != CutEndpoints || f.to.Sub(f.from) <= contact {
			continue
		}
		from := f.from.Add(contact)
		served, all := c.servedBy(records, from, f.to, func(rec record) bool {
			return rec.daemon == f.step.Target && c.reachedBySome(rec.sent, rec.ended)
		})
		othersServed, others := c.servedBy(records, from, f.to, func(rec record) bool {
			return !c.disturbed(rec.daemon, f.from, f.to, CutEndpoints)
		})
		if all < enoughCuts || others < enoughCuts {
			continue
		}
		c.compared++
		if all-served > 10+all/50 && 3*served*others < 2*othersServed*all {
			broken = append(broken, fmt.Sprintf("RECOVER: d%d, cut off from endpoints (%v) from %v to %v, served %d of %d requests, the others %d of %d", f.step.Target, f.step.Cut, f.from, f.to, served, all, othersServed, others))
		}
	}
	return broken
}

// reachedBySome reports whether a daemon that was neither cut off from all endpoints nor
// otherwise disturbed within a span could serve callers or requests of others. A daemon that
// stops takes none.
func (c *cluster) reachedBySome(from, to time.Time) bool {
	for i := range c.daemons {
		if c.inTouch(i, from, to) && !c.disturbed(i, from, to, CutEndpoints) {
			return true
		}
	}
	return false
}

// servedBy returns how many requests of those chosen, sent within a span to daemons that were
// not otherwise disturbed, were served, and how many there were.
func (c *cluster) servedBy(records []record, from, to time.Time, chosen func(rec record) bool) (served, all int) {
	for _, rec := range records {
		if rec.key != "good-key" || rec.sent.Before(from) || rec.sent.After(to) || !chosen(rec) || !c.inTouch(rec.daemon, rec.sent, rec.ended) {
			continue
		}
		all++
		if rec.served() {
			served++
		}
	}
	return served, all
}

// beginsCut reports whether a request was under way, or sent within contact, when its daemon
// was cut off from all endpoints, or one that its daemon could send it through.
func (c *cluster) beginsCut(rec record) bool {
	from := rec.sent.Add(-contact)
	cut := c.disturbed(rec.daemon, from, rec.ended, CutEndpoints)
	for _, f := range c.faults {
		if cut && f.step.Fault == CutEndpoints && f.from.After(from) && f.from.Before(rec.ended) {
			return true
		}
	}
	return false
}
