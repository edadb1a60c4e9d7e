package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// Fault is what is done to the system from outside.
type Fault int

// The faults.
const (
	KillDaemon  Fault = iota // SIGKILL, started again after a while
	StopDaemon               // SIGTERM, started again once it is gone
	PauseDaemon              // SIGSTOP, then SIGCONT
	Hangup                   // SIGHUP
	KillRunner
	PauseRunner
	StoreDown    // the store refuses all calls
	StoreForgets // the store drops its history
	StoreLoses   // changes are made, and the answers to them are lost
	CutStore     // the path between one daemon and the store
	CutCallers   // the path of callers to one daemon
	CutRunner    // the path of all daemons to one runner
	Change       // a new configuration, which takes a key away
	faults
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Fault -output=fault_string.go

// Cut is how a path is disturbed.
type Cut int

// The cuts.
const (
	Pass   Cut = iota
	Delay      // all bytes come late
	Reset      // connections are reset, new ones as well
	There      // nothing reaches the other end
	Back       // nothing comes back
	Silent     // nothing passes either way
	cutEnd
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Cut -output=cut_string.go

// Step is one fault of a plan.
type Step struct {
	At     time.Duration // from the start of the load
	For    time.Duration // until it is undone
	Fault  Fault
	Target int // number of the daemon or runner
	Cut    Cut // of a path
}

// String describes a step in one line.
func (s Step) String() string {
	return fmt.Sprintf("%v for %v: %v %d %v", s.At, s.For, s.Fault, s.Target, s.Cut)
}

const (
	shortest  = 200 * time.Millisecond // of a fault
	longest   = 3 * time.Second
	outage    = 7 * time.Second        // of one fault in four: longer than a key may be taken on trust
	seriesGap = 400 * time.Millisecond // between the faults of a series
)

// Plan returns the faults of a seed, by time. They overlap, and one in three is
// the first of a series of the same kind.
func Plan(seed uint64, length time.Duration, daemons, runners int) []Step {
	r := rand.New(rand.NewPCG(seed, 0))
	var steps []Step
	for at := time.Duration(0); at < length; at += time.Duration(r.Int64N(int64(length / 8))) {
		step := Step{At: at, For: shortest + time.Duration(r.Int64N(int64(longest-shortest))), Fault: Fault(r.IntN(int(faults)))}
		if r.IntN(4) == 0 {
			step.For = outage
		}
		repeats := 1
		if r.IntN(3) == 0 {
			repeats += r.IntN(3)
		}
		for i := range repeats {
			step.At = at + time.Duration(i)*seriesGap
			step.Target = r.IntN(daemons)
			if step.Fault == KillRunner || step.Fault == PauseRunner || step.Fault == CutRunner {
				step.Target = r.IntN(runners)
			}
			step.Cut = Pass
			if step.Fault == CutStore || step.Fault == CutCallers || step.Fault == CutRunner {
				step.Cut = Cut(1 + r.IntN(int(cutEnd)-1))
			}
			steps = append(steps, step)
		}
	}
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].At < steps[j].At })
	return steps
}
