package groups

import (
	"slices"
	"strings"

	"clementinehead.example/chead/site"
)

// loadChoice is a model to load onto the host of an endpoint.
type loadChoice struct {
	endpoint EndpointState
	model    site.Model
}

// fabricLoads is what a fabric domain has for new groups.
type fabricLoads struct {
	name    string
	free    []EndpointState // in no group
	groups  map[string]int  // groups there, by model
	ready   map[string]int  // free endpoints that can join a group of a model, by model
	loading map[string]int  // loads in progress on hosts of free endpoints, by model
}

// minLoadRatio keeps a model with hardly any groups from outweighing every number of
// loads.
const minLoadRatio = 0.2

// chooseLoads returns the loads of free endpoints to begin, the most useful first. Loads
// are scarce when many hosts are empty, as after a loss of power or while endpoints are
// replaced. Spread over all fabric domains they would complete no group for a long
// time, so those come first that complete a group with the fewest further loads. Then
// come loads that prepare endpoints for repairs.
func (p *Planner) chooseLoads(snap Snapshot, balances []balance) []loadChoice {
	fabrics := p.fabricLoads(snap)
	var choices []loadChoice
	for {
		completing := p.completingLoads(fabrics, balances)
		if completing == nil {
			break
		}
		choices = append(choices, completing...)
	}
	for _, f := range fabrics {
		choices = append(choices, p.spareLoads(f, balances)...)
	}
	return choices
}

// fabricLoads returns the fabric domains by name.
func (p *Planner) fabricLoads(snap Snapshot) []*fabricLoads {
	free := p.freeEndpoints(snap)
	groups := map[string]map[string]int{}
	for _, g := range p.groups {
		fabric := fabricOf(g, snap)
		if groups[fabric] == nil {
			groups[fabric] = map[string]int{}
		}
		groups[fabric][g.model.Name]++
	}
	var all []*fabricLoads
	for _, name := range sortedFabrics(free) {
		f := &fabricLoads{name: name, free: free[name], groups: groups[name], ready: map[string]int{}, loading: map[string]int{}}
		slices.SortFunc(f.free, func(a, b EndpointState) int { return strings.Compare(a.ID, b.ID) })
		for _, e := range f.free {
			if l, loading := p.loads[e.ID]; loading {
				f.loading[l.model.Name]++
			}
			for _, m := range snap.Engine.Models {
				if p.readiness(e, m.Name) != absent {
					f.ready[m.Name]++
				}
			}
		}
		all = append(all, f)
	}
	return all
}

// completingLoads returns the loads that complete a group of one model in one fabric
// domain at the least cost, or nil if no group can be completed. The cost is the time
// of the loads, less for an underserved model. The loads count as in progress.
func (p *Planner) completingLoads(fabrics []*fabricLoads, balances []balance) []loadChoice {
	var best []loadChoice
	var bestFabric *fabricLoads
	bestCost := 0.0
	for _, f := range fabrics {
		for _, b := range balances {
			need := b.model.Size - f.ready[b.model.Name] - f.loading[b.model.Name]
			hosts := p.emptyHosts(f.free, b.model)
			if need <= 0 || need > len(hosts) {
				continue
			}
			cost := float64(need) * b.model.Load.Seconds() * max(minLoadRatio, b.ratio())
			if best != nil && cost >= bestCost {
				continue
			}
			best, bestFabric, bestCost = nil, f, cost
			for _, e := range hosts[:need] {
				best = append(best, loadChoice{e, b.model})
			}
		}
	}
	if best != nil {
		bestFabric.begin(best)
	}
	return best
}

// begin counts loads as in progress and takes their endpoints from the free ones.
func (f *fabricLoads) begin(loads []loadChoice) {
	for _, l := range loads {
		f.loading[l.model.Name]++
		f.free = slices.DeleteFunc(f.free, func(e EndpointState) bool { return e.ID == l.endpoint.ID })
	}
}

// emptyHosts returns the endpoints onto whose hosts a model can be loaded without
// replacing another one, first those that can join no group.
func (p *Planner) emptyHosts(endpoints []EndpointState, model site.Model) []EndpointState {
	var empty, prepared []EndpointState
	for _, e := range endpoints {
		switch {
		case e.State.Busy || p.isLoading(e) || p.readiness(e, model.Name) != absent || len(e.State.Staged) > 0 && p.spareModels(e) > 0:
		case len(e.State.Staged) == 0 && p.lastModel[e.ID] == "":
			empty = append(empty, e)
		default:
			prepared = append(prepared, e)
		}
	}
	return append(empty, prepared...)
}

func (p *Planner) isLoading(e EndpointState) bool {
	_, loading := p.loads[e.ID]
	return loading
}

// spareLoads returns loads for the free endpoints of a fabric domain that can join no
// group, too few for a further one. Each prepares for the repair of a group of the
// model with the fewest spare endpoints for its groups there.
func (p *Planner) spareLoads(f *fabricLoads, balances []balance) []loadChoice {
	var choices []loadChoice
	for _, e := range f.free {
		if e.State.Busy || p.isLoading(e) || len(e.State.Staged) > 0 || p.lastModel[e.ID] != "" {
			continue
		}
		model := f.leastSpared(balances)
		f.loading[model.Name]++
		choices = append(choices, loadChoice{e, model})
	}
	return choices
}

// leastSpared returns the model with the fewest spare endpoints for its groups.
func (f *fabricLoads) leastSpared(balances []balance) site.Model {
	var best site.Model
	least := 0.0
	for i, b := range balances {
		spares := float64(f.ready[b.model.Name] + f.loading[b.model.Name])
		spared := (spares + 1) / float64(f.groups[b.model.Name]+1)
		if i == 0 || spared < least {
			best, least = b.model, spared
		}
	}
	return best
}

// memberLoads returns the loads of further models onto the hosts of endpoints that
// serve, so that they can be reassigned without a load. The most underserved model
// that the host lacks comes first.
func (p *Planner) memberLoads(snap Snapshot, balances []balance) []loadChoice {
	var choices []loadChoice
	for _, id := range sortedIDs(snap.Endpoints) {
		e := snap.Endpoints[id]
		phase := e.State.Member.Phase
		if !e.Usable || e.Silent || e.State.Busy || p.isLoading(e) || p.spareModels(e) >= snap.Engine.Staged {
			continue
		}
		if phase != site.Ready && phase != site.Open {
			continue
		}
		for _, b := range balances {
			if p.readiness(e, b.model.Name) == absent {
				choices = append(choices, loadChoice{e, b.model})
				break
			}
		}
	}
	return choices
}
