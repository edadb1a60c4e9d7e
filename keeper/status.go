package keeper

import (
	"maps"
	"slices"
	"time"

	"clementinehead.example/chead/fleet"
)

// Status is the state of one fabric domain that this daemon keeps.
type Status struct {
	Fabric      string         `json:"fabric"`
	Since       time.Time      `json:"since"`          // when this daemon became keeper
	At          time.Time      `json:"at"`             // when the last complete round ended
	Unreachable bool           `json:"dark,omitempty"` // almost all instances are silent
	Share       map[string]int `json:"share"`          // replicas that this fabric domain should hold, by group
	Value       fleet.Fabric   `json:"value"`
	Instances   []Instance     `json:"instances"`
	Outages     []string       `json:"outages,omitempty"` // in words, closed ones first
}

// Instance is an instance as its keeper observes it. State is a state of
// chart/instance.json.
type Instance struct {
	ID      string    `json:"id"`
	State   string    `json:"state"`
	Since   time.Time `json:"since"`
	Replica string    `json:"replica,omitempty"` // as the instance reports
	Fence   uint64    `json:"fence"`             // as the instance reports
}

// Status returns the state of all fabric domains that this daemon keeps, sorted by
// name.
func (k *Keeper) Status() []Status {
	var all []Status
	for _, t := range k.sortedTerms() {
		t.mu.Lock()
		all = append(all, t.status)
		t.mu.Unlock()
	}
	return all
}

// statusOf returns the status of a term after a round that ended at now.
func statusOf(t *term, result fleet.Result, outages []string, now time.Time) Status {
	status := Status{
		Fabric:      t.fabric,
		Since:       t.began,
		At:          now,
		Unreachable: result.Unreachable,
		Share:       result.Share[t.fabric],
		Value:       t.value,
		Outages:     outages,
	}
	for _, id := range slices.Sorted(maps.Keys(t.instances)) {
		instance := t.instances[id]
		status.Instances = append(status.Instances, Instance{
			ID:      id,
			State:   instance.State,
			Since:   instance.Since,
			Replica: instance.Report.Replica,
			Fence:   instance.Report.Fence,
		})
	}
	return status
}
