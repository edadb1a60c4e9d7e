package soak

import (
	"time"

	"clementinehead.example/chead/simul"
)

// Profile is a mix of faults, endpoints and load.
type Profile int

const (
	// Mixed disturbs everything; endpoints are fast and without faults, and callers go
	// where the directory sends them.
	Mixed Profile = iota
	// Stops stops daemons while callers stay with them, with endpoints that are slow,
	// stutter and break off.
	Stops
	// Crashes is Stops with prompts that crash endpoints.
	Crashes
	// Limits is Stops with more requests than endpoints take by the limits that they state.
	Limits
	// Cuts cuts daemons off from all endpoints while others are stopped.
	Cuts
	// Storms kills daemons in series while endpoints refuse most requests for seconds at a time.
	Storms
	// Builds is Stops with one daemon after the other replaced by another build.
	Builds
	// Turns has the store refuse one daemon after the other, while configurations come in
	// quick succession.
	Turns
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Profile -output=profile_string.go

// Profiles returns all profiles by name.
func Profiles() map[string]Profile {
	return map[string]Profile{"mixed": Mixed, "stops": Stops, "crashes": Crashes, "limits": Limits, "cuts": Cuts, "storms": Storms, "builds": Builds, "turns": Turns}
}

// traits are the properties of a profile.
type traits struct {
	events         int // of a stream
	streamInterval time.Duration
	fileInterval   time.Duration
	plainShare     int  // one runner in so many, but two at least, serves plain calls
	kept           bool // whether there are callers that stay with a daemon
	crashes        bool // whether there are prompts that crash endpoints
	slow           bool // whether some callers and some runners read slowly
	limits         bool // whether endpoints state limits
	cuts           bool // whether daemons are cut off from endpoints, so that their connections come from addresses of their own
	storms         bool // whether arrivals are compared with the retry budget
	builds         bool // whether a stopped daemon starts with the other build
	faults         simul.Faults
}

// traits returns the properties of a profile. In Stops and Builds a stream has few events, since
// those of slow endpoints have to come before the deadline.
func (p Profile) traits() traits {
	switch p {
	case Stops, Builds:
		return traits{
			events: 5, streamInterval: 600 * time.Millisecond, fileInterval: 200 * time.Millisecond, plainShare: 3, kept: true, slow: true, builds: p == Builds,
			faults: simul.Faults{Stutter: 0.08, Lose: 0.01, Reset: 0.01, Truncate: 0.01, Unsized: 0.05, Fail: 0.02, Expire: 0.01, Busy: 0.02},
		}
	case Crashes:
		return traits{
			events: 8, streamInterval: 100 * time.Millisecond, fileInterval: 200 * time.Millisecond, plainShare: 3, kept: true, crashes: true,
			faults: simul.Faults{Lose: 0.01, Reset: 0.01, Unsized: 0.05},
		}
	case Limits:
		return traits{
			events: 5, streamInterval: 30 * time.Millisecond, fileInterval: 30 * time.Millisecond, plainShare: 3, kept: true, limits: true,
			faults: simul.Faults{Stutter: 0.02, Reset: 0.01, Fail: 0.01, Busy: 0.02},
		}
	case Cuts, Turns:
		return traits{
			events: 8, streamInterval: 60 * time.Millisecond, fileInterval: 60 * time.Millisecond, plainShare: 3, kept: true, cuts: p == Cuts,
			faults: simul.Faults{Stutter: 0.02, Fail: 0.01, Busy: 0.02},
		}
	case Storms:
		return traits{
			events: 5, streamInterval: 25 * time.Millisecond, fileInterval: 25 * time.Millisecond, plainShare: 3, kept: true, storms: true,
			faults: simul.Faults{Busy: 0.7, Fail: 0.02, Reset: 0.01, Waves: stormWaves},
		}
	default:
		return traits{events: 20, streamInterval: 50 * time.Millisecond, fileInterval: 40 * time.Millisecond, plainShare: 1 << 30}
	}
}

// usualDaemons is the number of daemons for which the intervals of the load are meant.
const usualDaemons = 3

// interval returns an interval of the load for the number of daemons. In Mixed it is
// the same for all.
func (c *cluster) interval(usual time.Duration) time.Duration {
	if c.options.Profile == Mixed {
		return usual
	}
	return usual * usualDaemons / time.Duration(c.options.Daemons)
}

// pace is the range of the times between two events of an endpoint.
type pace struct{ shortest, longest time.Duration }

// pace returns the pace of an endpoint. In Crashes, Limits, Cuts, Storms and Turns it is the usual one. In Stops and
// Builds no, a third or all of the endpoints, by seed, are far slower than usual, but sound.
func (p Profile) pace(seed uint64, runner int, plain bool) pace {
	if p == Limits || p == Cuts || p == Storms || p == Turns || p == Crashes && !plain {
		return pace{20 * time.Millisecond, 120 * time.Millisecond}
	}
	slow := seed%3 == 2 || seed%3 == 1 && runner%3 == 0
	switch {
	case p == Mixed && plain:
		return pace{100 * time.Millisecond, 0}
	case p == Mixed:
		return pace{20 * time.Millisecond, 0}
	case slow:
		return pace{600 * time.Millisecond, 1400 * time.Millisecond}
	}
	return pace{20 * time.Millisecond, 250 * time.Millisecond}
}
