package groups

import (
	"sort"

	"clementinehead.example/chead/site"
)

// endpointsPerReassignment limits the fabric domains in which groups are reassigned at
// the same time to one for this many endpoints, and at least one. The endpoints of
// reassigned groups serve nobody for some seconds.
const endpointsPerReassignment = 60

// reassign retires groups of the most overserved model and reserves their endpoints
// for the underserved one, if that is short of groups. It does so in the fabric domain where
// fewest groups are needed, and only if the worse served of the two models is better served
// afterwards than the worse served one is now.
func (p *Planner) reassign(underserved balance, others []balance, free map[string][]EndpointState, snap Snapshot) {
	transit := p.inTransit(snap)
	if len(others) == 0 || !snap.HadTraffic || !p.isShort(underserved, snap) || len(transit) >= max(1, len(snap.Endpoints)/endpointsPerReassignment) {
		return
	}
	for _, r := range p.reservations {
		if r.model == underserved.model.Name {
			underserved.groups++ // its reserved group will be formed
		}
	}
	overserved := others[len(others)-1]
	var best []*group
	fabric := ""
	for _, name := range p.usableFabrics(snap) {
		if transit[name] {
			continue
		}
		groups := p.fewestGroups(name, underserved.model, overserved.model, free[name], snap)
		if len(groups) == 0 || !worthwhile(underserved, overserved, len(groups)) {
			continue
		}
		if best == nil || len(groups) < len(best) {
			best, fabric = groups, name
		}
	}
	for _, g := range best {
		p.retire(g, snap, "gives way to model "+underserved.model.Name)
		p.reservations[fabric] = reservation{model: underserved.model.Name, until: snap.Now + reservationTime}
	}
}

// shortLoad is the fraction of a model's slots from which on it lacks groups. Below,
// its requests find free slots, and a reassignment would only cost service and loads.
const shortLoad = 0.75

// isShort reports whether the requests for a model need nearly all slots of its groups,
// or more.
func (p *Planner) isShort(b balance, snap Snapshot) bool {
	slots := float64(b.groups * snap.Engine.Slots)
	return p.demand[b.model.Name] > shortLoad*slots || b.groups == 0
}

// fewestGroups returns the fewest groups of overserved whose endpoints, with the
// free ones of the fabric domain, can form a group of underserved without a load, or
// none.
func (p *Planner) fewestGroups(fabric string, underserved, overserved site.Model, free []EndpointState, snap Snapshot) []*group {
	prepared := p.countPrepared(free, underserved)
	groups := p.servingGroups(fabric, overserved.Name, snap)
	sort.SliceStable(groups, func(i, j int) bool {
		return p.countPrepared(groups[i].endpoints(snap), underserved) > p.countPrepared(groups[j].endpoints(snap), underserved)
	})
	for i, g := range groups {
		prepared += p.countPrepared(g.endpoints(snap), underserved)
		if prepared >= underserved.Size {
			return groups[:i+1]
		}
	}
	return nil
}

// countPrepared counts the endpoints that can join a group of a model without a load.
func (p *Planner) countPrepared(endpoints []EndpointState, model site.Model) int {
	n := 0
	for _, e := range endpoints {
		if p.readiness(e, model.Name) != absent {
			n++
		}
	}
	return n
}

func (g *group) endpoints(snap Snapshot) []EndpointState {
	endpoints := make([]EndpointState, 0, len(g.members))
	for _, m := range g.members {
		endpoints = append(endpoints, snap.Endpoints[m.id])
	}
	return endpoints
}

// worthwhile reports whether one more group of underserved is worth need groups of
// overserved: the lower ratio of the two afterwards must exceed that of underserved
// now by more than minGain.
func worthwhile(underserved, overserved balance, need int) bool {
	gaining := underserved
	gaining.groups++
	giving := overserved
	giving.groups -= need
	return giving.groups > 0 && min(gaining.ratio(), giving.ratio()) > underserved.ratio()+minGain
}

// inTransit returns the fabric domains whose endpoints are reserved for a model, or
// will soon be free because a group is closing or ending.
func (p *Planner) inTransit(snap Snapshot) map[string]bool {
	fabrics := map[string]bool{}
	for fabric := range p.reservations {
		fabrics[fabric] = true
	}
	for _, g := range p.groups {
		if g.stage >= closing {
			fabrics[snap.Endpoints[g.leader()].State.Fabric] = true
		}
	}
	return fabrics
}

func (p *Planner) usableFabrics(snap Snapshot) []string {
	seen := map[string][]EndpointState{}
	for _, e := range snap.Endpoints {
		if e.Usable && !e.Silent {
			seen[e.State.Fabric] = nil
		}
	}
	return sortedFabrics(seen)
}

func (p *Planner) servingGroups(fabric, model string, snap Snapshot) []*group {
	var found []*group
	for _, g := range p.sortedGroups() {
		if g.stage == serving && g.model.Name == model && snap.Endpoints[g.leader()].State.Fabric == fabric {
			found = append(found, g)
		}
	}
	return found
}
