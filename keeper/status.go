package keeper

import (
	"maps"
	"slices"
	"time"

	"clementinehead.example/chead/fleet"
)

// Status tells of one fabric domain that this daemon keeps.
type Status struct {
	Fabric    string         `json:"fabric"`
	Since     time.Time      `json:"since"` // when this daemon began to keep it
	At        time.Time      `json:"at"`    // of the last whole round
	Dark      bool           `json:"dark,omitempty"`
	Share     map[string]int `json:"share"` // replicas that it should hold, by group
	Value     fleet.Fabric   `json:"value"`
	Instances []Instance     `json:"instances"`
	Outages   []string       `json:"outages,omitempty"` // in words
}

// Instance is an instance as its keeper sees it. State is one of
// chart/instance.json.
type Instance struct {
	ID      string    `json:"id"`
	State   string    `json:"state"`
	Since   time.Time `json:"since"`
	Replica string    `json:"replica,omitempty"` // that it reports
	Fence   uint64    `json:"fence"`             // that it reports
}

// Status returns the state of all fabric domains that this daemon keeps.
func (k *Keeper) Status() []Status {
	var all []Status
	for _, t := range k.current() {
		t.mu.Lock()
		all = append(all, t.status)
		t.mu.Unlock()
	}
	return all
}

func statusOf(t *tenure, result fleet.Result, outages []string, now time.Time) Status {
	status := Status{
		Fabric:  t.fabric,
		Since:   t.began,
		At:      now,
		Dark:    result.Dark,
		Share:   result.Share[t.fabric],
		Value:   t.value,
		Outages: outages,
	}
	for _, id := range slices.Sorted(maps.Keys(t.seen)) {
		seen := t.seen[id]
		status.Instances = append(status.Instances, Instance{
			ID:      id,
			State:   seen.State,
			Since:   seen.Since,
			Replica: seen.Report.Replica,
			Fence:   seen.Report.Fence,
		})
	}
	return status
}
