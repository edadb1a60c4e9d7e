package groups

import (
	"slices"

	"clementinehead.example/chead/site"
)

// A spread group has members in several fabric domains. It runs Engine.Across times
// slower than others, so it is formed only of endpoints that no fabric domain has
// enough of: before there is traffic to make them ready for two models, and afterwards
// for a model that is short of groups.

// fabricOf returns the fabric domain of a group, or an empty string if the group is
// spread or the leader is unlisted.
func fabricOf(g *group, snap Snapshot) string {
	if g.spread {
		return ""
	}
	return snap.Endpoints[g.leader()].State.Fabric
}

// isSpread reports whether endpoints are in several fabric domains.
func isSpread(endpoints []EndpointState) bool {
	for _, e := range endpoints[1:] {
		if e.State.Fabric != endpoints[0].State.Fabric {
			return true
		}
	}
	return false
}

// formSpread forms one spread group, if any is useful, and reports whether it did.
func (p *Planner) formSpread(snap Snapshot, balances []balance) bool {
	if snap.Engine.Across <= 0 {
		return false
	}
	free := p.freeEndpoints(snap)
	for _, b := range balances {
		var members []EndpointState
		switch {
		case !snap.HadTraffic:
			members = p.unusedEndpoints(free)
		case p.isShort(b, snap):
			members = p.preparedEndpoints(free, b.model)
		}
		if len(members) < b.model.Size || !isSpread(members[:b.model.Size]) {
			continue
		}
		p.addGroup(b.model, members[:b.model.Size], snap)
		return true
	}
	return false
}

// unusedEndpoints returns the free endpoints that have been in no group, by fabric
// domain.
func (p *Planner) unusedEndpoints(free map[string][]EndpointState) []EndpointState {
	var unused []EndpointState
	for _, fabric := range sortedFabrics(free) {
		for _, e := range free[fabric] {
			if p.lastModel[e.ID] == "" && len(e.State.Models) == 0 {
				unused = append(unused, e)
			}
		}
	}
	return unused
}

// preparedEndpoints returns the free endpoints that can join a group of a model without
// a load, outside fabric domains reserved for a model. Those that can join at once come
// first.
func (p *Planner) preparedEndpoints(free map[string][]EndpointState, model site.Model) []EndpointState {
	var prepared []EndpointState
	for _, fabric := range sortedFabrics(free) {
		if _, reserved := p.reservations[fabric]; reserved {
			continue
		}
		for _, e := range free[fabric] {
			if p.readiness(e, model.Name) != absent && !p.isLoading(e) {
				prepared = append(prepared, e)
			}
		}
	}
	slices.SortStableFunc(prepared, func(a, b EndpointState) int {
		return int(p.readiness(a, model.Name)) - int(p.readiness(b, model.Name))
	})
	return prepared
}

// dissolveSpread retires the spread groups whose members complete a group of a model
// in one fabric domain, and reserves that domain for it. It reports whether it did.
func (p *Planner) dissolveSpread(free map[string][]EndpointState, model site.Model, snap Snapshot) bool {
	available := map[string][]EndpointState{}
	for fabric, endpoints := range free {
		available[fabric] = slices.Clone(endpoints)
	}
	owner := map[string]*group{}
	for _, g := range p.sortedGroups() {
		if !g.spread || g.stage != serving {
			continue
		}
		for _, e := range g.endpoints(snap) {
			owner[e.ID] = g
			available[e.State.Fabric] = append(available[e.State.Fabric], e)
		}
	}
	if len(owner) == 0 {
		return false
	}
	members := p.chooseMembers(available, model, snap)
	if members == nil {
		return false
	}
	fabric := members[0].State.Fabric
	if _, reserved := p.reservations[fabric]; reserved {
		return false
	}
	for _, e := range members {
		if g := owner[e.ID]; g != nil && g.stage == serving {
			p.retire(g, snap, "completes a group of model "+model.Name)
		}
	}
	p.reservations[fabric] = reservation{model: model.Name, until: snap.Now + reservationTime}
	return true
}

// warmedUp reports whether a spread group that was formed before traffic has done its
// part: each of its members has a further model on its host.
func (p *Planner) warmedUp(g *group, snap Snapshot) bool {
	for _, e := range g.endpoints(snap) {
		if p.spareModels(e) < min(snap.Engine.Staged, len(snap.Engine.Models)-1) {
			return false
		}
	}
	return true
}
