package groups

import (
	"maps"
	"slices"
	"sort"

	"clementinehead.example/chead/site"
)

// adopt takes up groups that the endpoints report and the planner doesn't know:
// those of the keeper before, and those of orders that were carried out late.
func (p *Planner) adopt(w World) {
	found := map[string][]Unit{}
	for _, u := range w.Units {
		if m := u.State.Member; m.Phase != site.Outside && p.groups[m.Group] == nil && !u.Silent && !p.outdated(u) {
			found[m.Group] = append(found[m.Group], u)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(found)) {
		p.adoptGroup(w, name, found[name])
	}
}

func (p *Planner) adoptGroup(w World, name string, units []Unit) {
	sort.Slice(units, func(i, j int) bool { return units[i].State.Member.Rank < units[j].State.Member.Rank })
	g := &group{name: name, epoch: units[0].State.Member.Epoch, stage: ending, since: w.Now, cause: "found in part"}
	whole := true
	for i, u := range units {
		g.members = append(g.members, member{u.ID, u.State.Born})
		m := u.State.Member
		whole = whole && m.Rank == i && m.Epoch == g.epoch && (m.Phase == site.Ready || m.Phase == site.Open)
	}
	model, known := loaded(w.Engine, units[0].State)
	g.model = model
	if whole && known && len(units) == model.Size {
		g.stage = forming
		g.cause = "found whole"
		if units[0].State.Member.Phase == site.Open {
			g.stage = serving
		}
	}
	p.groups[name] = g
}

// loaded returns the model that an engine has.
func loaded(e site.Engine, s site.State) (site.Model, bool) {
	for _, name := range s.Models {
		if m, ok := e.Model(name); ok {
			return m, true
		}
	}
	return site.Model{}, false
}
