package site

import "time"

// Phase is the state of a group as reported by one of its members.
type Phase int

// The values of Phase.
const (
	Outside Phase = iota // in no group
	Joining              // joining the group
	Ready                // joined, no requests are accepted
	Open                 // requests are accepted
	Closing              // running requests are being completed, no new ones accepted
	Broken
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Phase -output=phase_string.go

// Endpoint is a runner, from one start to the next, as the platform lists it.
type Endpoint struct {
	ID       string
	Service  string
	Address  string // host:port
	Domain   string // failure domain
	Draining bool
	Slots    int           // requests that run at once
	Cold     time.Duration // remaining time that it is cold, counted from Seen
	Seen     time.Duration // boot clock when this was received
	State    State
}

// State is what a model engine states of itself, in its store entry or its report.
type State struct {
	Started  int64    // start time in Unix milliseconds, which identifies the start
	Sequence int64    // orders accepted since its start; 0 in a store entry, which does not state it
	Busy     bool     // an order is in progress
	Models   []string // loaded models
	Staged   []string // models staged on its host
	Fabric   string   // fabric domain
	Member   Member
	Pace     float64 // factor on its durations, above 1 if it is slow; 0 if not stated
	Running  int     // requests
	Waiting  int     // requests
}

// Member is an engine's membership of a group.
type Member struct {
	Group string
	Epoch int64
	Rank  int // 0 is the leader
	Phase Phase
}

// In reports whether the member belongs to the group in the given epoch.
func (m Member) In(group string, epoch int64) bool {
	return m.Phase != Outside && m.Group == group && m.Epoch == epoch
}

// Serves reports whether the engine leads an open group and has the model loaded.
func (s State) Serves(model string) bool {
	return s.Member.Phase == Open && s.Member.Rank == 0 && s.Has(model)
}

// Has reports whether the engine has the model loaded.
func (s State) Has(model string) bool {
	for _, m := range s.Models {
		if m == model {
			return true
		}
	}
	return false
}

// HasStaged reports whether the engine's host has the model staged.
func (s State) HasStaged(model string) bool {
	for _, m := range s.Staged {
		if m == model {
			return true
		}
	}
	return false
}
