package groups

import (
	"sort"

	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
)

// stageModels returns orders that load models onto hosts in the background, so that
// their endpoints can soon join groups of these models. A host gets up to
// Engine.Staged models besides those whose groups its endpoint can join at once.
// Endpoints that can join no group come first.
func (p *Planner) stageModels(snap Snapshot) []Order {
	p.dropFinishedLoads(snap)
	var orders []Order
	for _, unprepared := range []bool{true, false} {
		for _, id := range sortedIDs(snap.Endpoints) {
			e := snap.Endpoints[id]
			if !e.Usable || e.Silent || e.State.Busy || p.unprepared(e, snap) != unprepared {
				continue
			}
			orders = append(orders, p.stageModel(e, snap)...)
		}
	}
	return orders
}

// unprepared reports whether an endpoint is in no group and can join none without
// a load.
func (p *Planner) unprepared(e EndpointState, snap Snapshot) bool {
	for _, m := range snap.Engine.Models {
		if p.readiness(e, m.Name) != absent {
			return false
		}
	}
	return p.groupOf(e.ID) == nil
}

func (p *Planner) stageModel(e EndpointState, snap Snapshot) []Order {
	if _, loading := p.loads[e.ID]; loading {
		return nil
	}
	model, wanted := p.modelToStage(e, snap)
	if !wanted || !p.mayLoad(snap) {
		return nil
	}
	orders := p.issue(e, platform.Order{Verb: platform.Stage, Model: model.Name}, snap)
	if len(orders) > 0 {
		p.loads[e.ID] = load{model: model, engineStarted: e.State.Started, startedAt: snap.Now}
		p.loadStarts = append(p.loadStarts, snap.Now)
	}
	return orders
}

// dropFinishedLoads drops the loads that are done, refused or timed out, and those
// of endpoints that restarted or are gone.
func (p *Planner) dropFinishedLoads(snap Snapshot) {
	for id, l := range p.loads {
		e, listed := snap.Endpoints[id]
		r := p.records[id]
		stageRefused := r != nil && r.lastOrder.Verb == platform.Stage && r.outcome == refused
		if !listed || e.State.Started != l.engineStarted || e.State.HasStaged(l.model.Name) || stageRefused || snap.Now-l.startedAt > loadTimeoutFactor*l.model.Load {
			delete(p.loads, id)
		}
	}
}

const (
	// fasterLoadFactor is how many times better served a model may be than another
	// for an endpoint outside groups to load it instead, because its load is shorter.
	fasterLoadFactor = 1.5
	// loadTimeoutFactor is the time after which a load is given up, in usual load
	// times of the model.
	loadTimeoutFactor = 3
)

// modelToStage returns the model to load onto an endpoint's host. There is none for an
// endpoint that is joining or closing, for one outside groups before there was traffic,
// if the host has Engine.Staged spare models, or if no model is absent.
func (p *Planner) modelToStage(e EndpointState, snap Snapshot) (site.Model, bool) {
	phase := e.State.Member.Phase
	if phase == site.Outside && !snap.HadTraffic || phase == site.Joining || phase == site.Closing {
		return site.Model{}, false
	}
	if p.spareModels(e) >= snap.Engine.Staged {
		return site.Model{}, false
	}
	best, found := balance{}, false
	for _, b := range p.balances(snap) {
		if p.readiness(e, b.model.Name) != absent {
			continue
		}
		if !found || phase == site.Outside && b.model.Load < best.model.Load && b.ratio() < fasterLoadFactor*best.ratio() {
			best, found = b, true
		}
	}
	return best.model, found
}

// spareModels returns how many models are on an endpoint's host besides those
// whose groups it can join at once.
func (p *Planner) spareModels(e EndpointState) int {
	n := 0
	for _, model := range e.State.Staged {
		if p.readiness(e, model) != resident {
			n++
		}
	}
	return n
}

// mayLoad reports whether another load may begin. Once there is traffic, loads are
// limited to half of Engine.LoadRate, the rate of the store that model weights are loaded
// from, and to Engine.Loads, the number that it can supply at once at full speed.
func (p *Planner) mayLoad(snap Snapshot) bool {
	recent := p.loadStarts[:0]
	for _, at := range p.loadStarts {
		if snap.Now-at < loadWindow {
			recent = append(recent, at)
		}
	}
	p.loadStarts = recent
	if !snap.HadTraffic {
		return true
	}
	return float64(len(p.loadStarts)) < snap.Engine.LoadRate/2 && len(p.loads) < snap.Engine.Loads
}

func sortedIDs(endpoints map[string]EndpointState) []string {
	ids := make([]string, 0, len(endpoints))
	for id := range endpoints {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
