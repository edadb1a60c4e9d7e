package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// Fault is a kind of disturbance of the system from outside.
type Fault int

// The faults.
const (
	KillDaemon   Fault = iota // SIGKILL, restarted Step.For after it has ended
	StopDaemon                // SIGTERM, restarted Step.For after it has ended, in the profile Builds with the other build
	PauseDaemon               // SIGSTOP, then SIGCONT
	Hangup                    // SIGHUP: the daemon reads its settings again
	KillRunner                // SIGKILL, restarted Step.For after it has ended
	PauseRunner               // SIGSTOP, then SIGCONT
	StoreDown                 // the store refuses all calls
	StoreForgets              // the store deletes its history
	StoreLoses                // changes take effect, but the answers to them are lost
	CutStore                  // disturbs the path between one daemon and the store
	CutCallers                // disturbs the path from callers to one daemon
	CutRunner                 // disturbs the path from all daemons to one runner
	Change                    // writes a new configuration, which removes a key
	StopAgain                 // SIGTERM to a daemon that may be stopping; it is not restarted for it
	Rewrite                   // changes the settings file of a daemon, without a signal
	CutEndpoints              // cuts one daemon off from all runners
	TurnAway                  // the store refuses all calls of one daemon
)

// mixedFaults is the number of faults that the profile Mixed draws from. It stays as it
// is, so that a seed keeps its plan.
const mixedFaults = int(Change) + 1

//go:generate go tool -modfile=../tools/go.mod stringer -type=Fault -output=fault_string.go

// Cut is a way in which a path is disturbed.
type Cut int

// The cuts.
const (
	Pass   Cut = iota // not disturbed
	Delay             // all bytes arrive late
	Reset             // connections are reset, including new ones
	There             // no bytes pass to the target
	Back              // no bytes pass from the target
	Silent            // no bytes pass in either direction
	Refuse            // new connections are reset, open ones pass
)

// mixedCuts is the number of cuts, with Pass, that the profile Mixed draws from. It stays as
// it is, so that a seed keeps its plan.
const mixedCuts = int(Silent) + 1

//go:generate go tool -modfile=../tools/go.mod stringer -type=Cut -output=cut_string.go

// Step is one fault of a plan.
type Step struct {
	At     time.Duration // time from the start of the load
	For    time.Duration // time until the fault is undone; after a kill or stop, the time until the restart; unused for Hangup, StoreForgets, Change, StopAgain and Rewrite
	Fault  Fault
	Target int // index of the runner for KillRunner, PauseRunner and CutRunner, otherwise of the daemon; unused for faults of the store and for Change
	Cut    Cut // for a fault of a path
}

// String describes a step in one line.
func (s Step) String() string {
	return fmt.Sprintf("%v for %v: %v %d %v", s.At, s.For, s.Fault, s.Target, s.Cut)
}

const (
	minFault  = 200 * time.Millisecond // shortest ordinary fault
	maxFault  = 3 * time.Second        // bound of an ordinary fault, which is shorter
	longFault = 7 * time.Second        // used for one fault in four; longer than the 5 s (revoke) for which daemons may accept keys without contact to the store
	seriesGap = 400 * time.Millisecond // between the faults of a series
)

// plan returns the faults of a soak.
func (o Options) plan() []Step {
	switch o.Profile {
	case Mixed:
		return Plan(o.Seed, o.Length, o.Daemons, o.Runners)
	case Builds:
		return planBuilds(o.Seed, o.Length, o.Daemons, o.Runners)
	case Cuts:
		return planCuts(o.Seed, o.Length, o.Daemons, o.Runners)
	case Storms:
		return planStorms(o.Seed, o.Length, o.Daemons, o.Runners)
	case Turns:
		return planTurns(o.Seed, o.Length, o.Daemons, o.Runners)
	default:
		return planStops(o.Seed, o.Length, o.Daemons, o.Runners)
	}
}

// byTime sorts steps by time.
func byTime(steps []Step) {
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].At < steps[j].At })
}

// Plan returns the faults of the profile Mixed for a seed, sorted by time. Faults may overlap. The mean time
// between the starts of two is a sixteenth of length. At one start in three, the number
// of faults of the same kind is drawn from one to three, so about two starts in nine
// begin a series of two or three.
func Plan(seed uint64, length time.Duration, daemons, runners int) []Step {
	r := rand.New(rand.NewPCG(seed, 0))
	var steps []Step
	for at := time.Duration(0); at < length; at += time.Duration(r.Int64N(int64(length / 8))) {
		step := Step{At: at, For: minFault + time.Duration(r.Int64N(int64(maxFault-minFault))), Fault: Fault(r.IntN(mixedFaults))}
		if r.IntN(4) == 0 {
			step.For = longFault
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
				step.Cut = Cut(1 + r.IntN(mixedCuts-1))
			}
			steps = append(steps, step)
		}
	}
	byTime(steps)
	return steps
}
