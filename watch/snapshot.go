package watch

import (
	"slices"
	"time"

	"clementinehead.example/chead/site"
)

// Snapshot is what the store held at a revision. It is immutable once
// published.
type Snapshot struct {
	Era          int64 // of the store; Revision and Keeper.Revision belong to it
	Revision     int64
	Config       *site.Config // nil until one has been decoded
	Endpoints    map[string]site.Endpoint
	Lapsed       map[string]time.Duration // when the grace period of a lapsed endpoint ends, on the boot clock
	OutOfService map[string]bool          // failure domains out of service
	KeptOut      map[string]time.Duration // of these, domains that the present era doesn't list, and until when they are kept, on the boot clock
	Daemons      map[string]site.Daemon   // by ID
	Keeper       Term
	Parts        map[string]time.Time // parts of prompts that are refused, and until when, by the time of day
	Settled      Settled
	Unused       bool    // no daemon had left a trace in the store when this one first listed it
	ConfigAt     int64   // revision at which Config was written in this era, 0 if it is held from an earlier one
	EraRevision  int64   // of the first listing of this era
	ReadAt       []int64 // revisions at which this daemon has read the version of Config, in all eras
	Moved        bool    // this era began with that version at a revision which is none of these
	HadAccounts  int64   // a version of the configuration that has a list of client accounts, 0 if none is known
	Recorded     bool    // the store has a record of HadAccounts
}

// Settled is the record of the newest configuration that a daemon had shown to be in force.
// Within an era the store loses nothing, so that later daemons follow it; the one in a copy
// tells which configurations were written before the copy was made.
type Settled struct {
	Era      int64 `json:"era"`
	Version  int64 `json:"version"` // 0 if there is no record
	Revision int64 `json:"-"`       // of the record in the store, 0 if there is none
}

// Term is one term of the keeper, the daemon that sends orders to the endpoints of
// groups.
type Term struct {
	Number   int64  `json:"term"`
	Daemon   string `json:"daemon"`
	Era      int64  `json:"era"` // of the store when the term began; the term ends with it
	Revision int64  `json:"-"`   // of the keeper key in the store, 0 if it was never read
}

// Rewritten reports whether operators wrote the configuration after the daemon had first
// listed the store in this era.
func (s *Snapshot) Rewritten() bool { return s.ConfigAt > s.EraRevision }

// WrittenSinceRecord reports whether operators wrote the configuration after the record of
// the version in force, which the store's copy has from an earlier era.
func (s *Snapshot) WrittenSinceRecord() bool {
	return s.Settled.Version > 0 && s.ConfigAt > s.Settled.Revision
}

// setConfig makes a version that was read at a revision the one that is held.
func (s *Snapshot) setConfig(config *site.Config, revision int64) {
	if config.Version != s.ConfigVersion() {
		s.ReadAt = nil
	}
	known := slices.Contains(s.ReadAt, revision)
	if s.ConfigAt == 0 && len(s.ReadAt) > 0 && !known {
		s.Moved = true
	}
	if !known {
		s.ReadAt = append(slices.Clip(s.ReadAt), revision)
	}
	s.Config, s.ConfigAt = config, revision
	s.noteAccounts()
}

// MovedInUnusedCopy reports whether operators wrote the configuration again before the daemon
// first listed this era, by its revision alone: the store's copy is older than the first record
// of a version in force.
func (s *Snapshot) MovedInUnusedCopy() bool { return s.Moved && s.Settled.Version == 0 }

// Usable reports whether an endpoint may get new work: it is not draining and its
// failure domain is in service.
func (s *Snapshot) Usable(e site.Endpoint) bool { return !e.Draining && !s.OutOfService[e.Domain] }

// GroupKey identifies a group of a service.
type GroupKey struct {
	Service string
	Group   string
	Epoch   int64
}

// GroupSizes returns the number of members of each group that neither drain nor are
// broken, as their entries show them.
func (s *Snapshot) GroupSizes() map[GroupKey]int {
	sizes := map[GroupKey]int{}
	for _, e := range s.Endpoints {
		m := e.State.Member
		if m.Phase != site.Outside && m.Phase != site.Broken && !e.Draining {
			sizes[GroupKey{e.Service, m.Group, m.Epoch}]++
		}
	}
	return sizes
}

// clone returns a copy whose maps can be changed.
func (s *Snapshot) clone() *Snapshot {
	next := *s
	next.Endpoints = cloneMap(s.Endpoints)
	next.Lapsed = cloneMap(s.Lapsed)
	next.OutOfService = cloneMap(s.OutOfService)
	next.KeptOut = cloneMap(s.KeptOut)
	next.Daemons = cloneMap(s.Daemons)
	next.Parts = cloneMap(s.Parts)
	return &next
}

func cloneMap[V any](in map[string]V) map[string]V {
	out := make(map[string]V, len(in))
	for k, v := range in {
		out[k] = v
	}
	return out
}
