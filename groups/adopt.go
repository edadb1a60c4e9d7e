package groups

import (
	"maps"
	"slices"
	"sort"

	"clementinehead.example/chead/site"
)

// adopt adds the groups that the endpoints report and the planner doesn't know:
// those of the previous keeper, and those of orders that were executed late.
func (p *Planner) adopt(snap Snapshot) {
	found := map[string][]EndpointState{}
	for _, e := range snap.Endpoints {
		if m := e.State.Member; m.Phase != site.Outside && p.groups[m.Group] == nil && !e.Silent && !p.mayBeOutdated(e) {
			found[m.Group] = append(found[m.Group], e)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(found)) {
		p.adoptGroup(snap, name, found[name])
	}
}

// adoptGroup adds a group with the endpoints that report it. A complete group goes
// on, an incomplete one ends.
func (p *Planner) adoptGroup(snap Snapshot, name string, endpoints []EndpointState) {
	sort.Slice(endpoints, func(i, j int) bool { return endpoints[i].State.Member.Rank < endpoints[j].State.Member.Rank })
	g := &group{name: name, epoch: endpoints[0].State.Member.Epoch, stage: ending, since: snap.Now, cause: "found in part"}
	complete := true
	for i, e := range endpoints {
		g.members = append(g.members, member{e.ID, e.State.Started})
		m := e.State.Member
		complete = complete && m.Rank == i && m.Epoch == g.epoch && (m.Phase == site.Ready || m.Phase == site.Open)
	}
	model, known := loadedModel(snap.Engine, endpoints[0].State)
	g.model = model
	if complete && known && len(endpoints) == model.Size {
		g.stage = forming
		g.cause = "found whole"
		if endpoints[0].State.Member.Phase == site.Open {
			g.stage = serving
		}
	}
	g.spread = isSpread(endpoints)
	p.groups[name] = g
}

// loadedModel returns the model that an engine has loaded.
func loadedModel(e site.Engine, s site.State) (site.Model, bool) {
	for _, name := range s.Models {
		if m, ok := e.Model(name); ok {
			return m, true
		}
	}
	return site.Model{}, false
}
