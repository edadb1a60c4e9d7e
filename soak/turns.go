package soak

import (
	"math/rand/v2"
	"time"
)

// Times of the plan of the profile Turns.
const (
	minTurn     = time.Second           // shortest time for which the store refuses a daemon
	maxTurn     = 8 * time.Second       // bound of it, which is shorter; more than revoke
	turnGap     = time.Second           // after the end of a turn at most, until the next one begins
	quickChange = 83 * time.Millisecond // between configurations in quick succession
	maxQuick    = 16                    // bound of their number, which is lower
)

// planTurns returns the faults of the profile Turns for a seed, sorted by time: the store
// refuses one daemon after the other, at times two at once, while configurations come in
// quick succession. Some of the daemons are killed and start while they are refused.
// Beside that there are single configurations, restarts of endpoints and faults of the store.
func planTurns(seed uint64, length time.Duration, daemons, runners int) []Step {
	r := rand.New(rand.NewPCG(seed, 6))
	var steps []Step
	order := r.Perm(daemons)
	var ends []time.Duration // of the turns
	for at := firstStop; at < length; {
		turn := Step{At: at, For: between(r, minTurn, maxTurn), Fault: TurnAway, Target: order[len(ends)%daemons]}
		steps = append(steps, turn)
		steps = append(steps, quickChanges(r, at+between(r, -minTurn, turn.For))...)
		if r.IntN(4) == 0 {
			steps = append(steps, Step{At: at + between(r, 0, turn.For), For: between(r, minFault, maxDowntime), Fault: KillDaemon, Target: turn.Target})
		}
		steps = append(steps, besideSteps(r, at-beforeStop, runners)...)
		ends = append(ends, at+turn.For)
		at += between(r, turn.For/2, turn.For+turnGap)
		if n := len(ends); n > 1 {
			at = max(at, ends[n-2])
		}
	}
	byTime(steps)
	return steps
}

// quickChanges returns configurations in quick succession.
func quickChanges(r *rand.Rand, from time.Duration) []Step {
	var steps []Step
	for i := range 1 + r.IntN(maxQuick-1) {
		steps = append(steps, Step{At: from + time.Duration(i)*quickChange, Fault: Change})
	}
	return steps
}
