package soak

import (
	"math/rand/v2"
	"time"
)

// Times of the plan of the profile Stops.
const (
	firstStop   = 2 * time.Second        // from the start of the load to the first round of stops
	roundEvery  = 13 * time.Second       // between two rounds: grace, downtime and time to be listed again
	stopSpread  = 3 * time.Second        // within which the daemons of a round are stopped
	hangupLead  = 300 * time.Millisecond // SIGHUP comes so long before SIGTERM at most
	aroundStop  = 8 * time.Second        // span, from 2 s before a round, in which other faults begin
	beforeStop  = 2 * time.Second
	maxDowntime = 2 * time.Second
)

// planStops returns the faults of the profile Stops for a seed, sorted by time: rounds in which one or
// more daemons, but not all, are stopped, and beside that signals, configurations,
// settings, restarts of endpoints and faults of the store.
func planStops(seed uint64, length time.Duration, daemons, runners int) []Step {
	r := rand.New(rand.NewPCG(seed, 1))
	var steps []Step
	for at := firstStop; at < length; at += roundEvery {
		targets := r.Perm(daemons)[:1+r.IntN(max(1, daemons-1))]
		for _, target := range targets {
			steps = append(steps, stopSteps(r, at+between(r, 0, stopSpread), target)...)
		}
		steps = append(steps, besideSteps(r, at-beforeStop, runners)...)
	}
	byTime(steps)
	return steps
}

// stopSteps returns the stop of one daemon with what comes just before and during it.
func stopSteps(r *rand.Rand, at time.Duration, target int) []Step {
	steps := []Step{{At: at, For: between(r, minFault, maxDowntime), Fault: StopDaemon, Target: target}}
	if r.IntN(3) == 0 {
		steps = append(steps, Step{At: at - between(r, 0, hangupLead), Fault: Hangup, Target: target})
	}
	if r.IntN(3) == 0 {
		steps = append(steps, Step{At: at + between(r, 0, grace), Fault: Hangup, Target: target})
	}
	if r.IntN(3) == 0 {
		steps = append(steps, Step{At: at + between(r, minFault, grace), Fault: StopAgain, Target: target})
	}
	if r.IntN(3) == 0 {
		steps = append(steps, Step{At: at + between(r, -beforeStop, beforeStop), Fault: Rewrite, Target: target})
	}
	return steps
}

// besideSteps returns what happens to the rest of the system around a round of stops.
func besideSteps(r *rand.Rand, from time.Duration, runners int) []Step {
	var steps []Step
	for range r.IntN(3) {
		steps = append(steps, Step{At: from + between(r, 0, aroundStop), Fault: Change})
	}
	for range r.IntN(2) {
		steps = append(steps, Step{At: from + between(r, 0, aroundStop), For: between(r, minFault, maxFault), Fault: KillRunner, Target: r.IntN(runners)})
	}
	if r.IntN(3) == 0 {
		fault := []Fault{StoreDown, StoreForgets, StoreLoses}[r.IntN(3)]
		steps = append(steps, Step{At: from + between(r, 0, aroundStop), For: between(r, minFault, maxFault), Fault: fault})
	}
	return steps
}

// between returns a random time of at least low and below high.
func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}
