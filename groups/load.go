package groups

import (
	"sort"
	"time"

	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
)

// stageModels returns orders that load models onto hosts in the background, so that
// their endpoints can soon join groups of these models. A host gets up to
// Engine.Staged models besides those whose groups its endpoint can join at once.
func (p *Planner) stageModels(snap Snapshot) []Order {
	p.dropFinishedLoads(snap)
	p.adoptLoads(snap)
	if p.listing || !p.mayLoad(snap) {
		return nil
	}
	balances := p.balances(snap)
	orders := p.beginLoads(p.chooseLoads(snap, balances), snap, snap.Engine.Loads)
	return append(orders, p.beginLoads(p.memberLoads(snap, balances), snap, max(1, snap.Engine.Loads/memberLoadShare))...)
}

// memberLoadShare is the part, as its inverse, of the concurrent loads that members of
// groups may use. A load takes long, and more endpoints may soon be without a model.
const memberLoadShare = 2

// beginLoads returns the orders for loads as far as these may begin. Once there is
// traffic, at most the given number may be in progress.
func (p *Planner) beginLoads(choices []loadChoice, snap Snapshot, most int) []Order {
	var orders []Order
	for _, l := range choices {
		if !p.mayLoad(snap) || snap.HadTraffic && len(p.loads) >= most {
			break
		}
		issued := p.issue(l.endpoint, platform.Order{Verb: platform.Stage, Model: l.model.Name}, snap)
		if len(issued) == 0 {
			continue
		}
		p.loads[l.endpoint.ID] = load{model: l.model, engineStarted: l.endpoint.State.Started, startedAt: snap.Now}
		p.loadStarts = append(p.loadStarts, snap.Now)
		orders = append(orders, issued...)
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
		done := e.State.HasStaged(l.model.Name) || l.model.Name == "" && !e.State.Busy
		if !listed || e.State.Started != l.engineStarted || done || stageRefused || snap.Now-l.startedAt > loadTimeoutFactor*l.model.Load {
			delete(p.loads, id)
		}
	}
}

// inherits reports whether orders of the keeper before may still be on their way, or not
// show in the states of endpoints. Loads that it began within loadWindow count for the rate.
func (p *Planner) inherits(snap Snapshot) bool {
	return snap.Now-p.beganAt < loadWindow+orderTimeout
}

// adoptLoads adds the loads that the keeper before may have begun, of a model that is not
// known: an endpoint that executes an order which is not of this keeper, and doesn't join
// a group, may be loading.
func (p *Planner) adoptLoads(snap Snapshot) {
	if !p.inherits(snap) {
		return
	}
	longest := time.Duration(0)
	for _, m := range snap.Engine.Models {
		longest = max(longest, m.Load)
	}
	for id, e := range snap.Endpoints {
		if !e.State.Busy || e.State.Member.Phase == site.Joining || p.isLoading(e) || p.records[id].sentAt > 0 {
			continue
		}
		p.loads[id] = load{model: site.Model{Load: longest}, engineStarted: e.State.Started, startedAt: snap.Now}
	}
}

// loadTimeoutFactor is the time after which a load is given up, in usual load times
// of the model.
const loadTimeoutFactor = 3

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

// earlyLoadTime is the time whose loads by Engine.LoadRate may begin in loadWindow while no
// traffic is known. The keeper hears of the first request late, and from that one on no more
// than Engine.LoadRate bears may begin, on average over some seconds.
const earlyLoadTime = 2500 * time.Millisecond

// mayLoad reports whether another load may begin. Once there is traffic, loads are
// limited to half of Engine.LoadRate, the rate of the store that model weights are loaded
// from, and to Engine.Loads, the number that it can supply at once at full speed. None
// begins while the loads of the keeper before are not known. Before, they are limited by
// earlyLoadTime.
func (p *Planner) mayLoad(snap Snapshot) bool {
	recent := p.loadStarts[:0]
	for _, at := range p.loadStarts {
		if snap.Now-at < loadWindow {
			recent = append(recent, at)
		}
	}
	p.loadStarts = recent
	if !snap.HadTraffic {
		return float64(len(p.loadStarts)) < snap.Engine.LoadRate*earlyLoadTime.Seconds()
	}
	if p.inherits(snap) {
		return false
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
