package groups

import (
	"fmt"
	"sort"
	"strconv"
	"time"

	"clementinehead.example/chead/site"
)

// readiness tells how soon an endpoint can join a group of a model.
type readiness int

const (
	resident readiness = iota // its last group had the model, or it has it loaded
	staged                    // the model is on its host
	absent                    // the model has to be loaded
)

func (p *Planner) readiness(e EndpointState, model string) readiness {
	if p.lastModel[e.ID] == model || e.State.Has(model) {
		return resident
	}
	if e.State.HasStaged(model) {
		return staged
	}
	return absent
}

// formGroups forms groups of free endpoints, for the most underserved model first.
// If none can be formed for that model, groups of an overserved model are retired
// and their endpoints reserved for it. What is left is used for spread groups.
func (p *Planner) formGroups(snap Snapshot) {
	for fabric, r := range p.reservations {
		if snap.Now > r.until {
			delete(p.reservations, fabric)
		}
	}
	p.listing = p.awaitingListing(snap)
	if p.listing {
		return
	}
	for p.formGroup(snap) {
	}
}

const (
	listingPause   = 500 * time.Millisecond // once the number of endpoints has been constant for so long, all are taken to be listed
	maxListingWait = 3 * time.Second        // longest wait, from the first endpoint listed
)

// awaitingListing reports whether endpoints are still being listed at the start.
// Groups formed meanwhile would be of the smallest model, as the first endpoints
// suffice for it, and leave too few endpoints together for larger models.
func (p *Planner) awaitingListing(snap Snapshot) bool {
	if snap.HadTraffic || len(snap.Endpoints) == 0 {
		return false
	}
	if p.listedCount == 0 {
		p.firstListedAt = snap.Now
	}
	if len(snap.Endpoints) != p.listedCount {
		p.listedCount = len(snap.Endpoints)
		p.countChangedAt = snap.Now
	}
	return snap.Now-p.countChangedAt < listingPause && snap.Now-p.firstListedAt < maxListingWait
}

// formGroup forms one group, if any can be formed, and reports whether it did.
func (p *Planner) formGroup(snap Snapshot) bool {
	free := p.freeEndpoints(snap)
	all := p.balances(snap)
	for i, b := range all {
		if members := p.chooseMembers(free, b.model, snap); members != nil {
			delete(p.reservations, members[0].State.Fabric)
			p.addGroup(b.model, members, snap)
			return true
		}
		if p.dissolveSpread(free, b.model, snap) {
			return false
		}
		if i == 0 {
			p.reassign(b, all[1:], free, snap)
		}
	}
	return p.formSpread(snap, all)
}

// freeEndpoints returns the usable endpoints in no group that are not slow, by fabric
// domain.
func (p *Planner) freeEndpoints(snap Snapshot) map[string][]EndpointState {
	taken := map[string]bool{}
	for _, g := range p.groups {
		for _, m := range g.members {
			taken[m.id] = true
		}
	}
	free := map[string][]EndpointState{}
	for id, e := range snap.Endpoints {
		r := p.records[id]
		if _, slow := p.slow[id]; slow {
			continue
		}
		if taken[id] || !e.Usable || e.Silent || !r.sequenceKnown || !r.outside || r.sentAt > 0 && r.outcome == pending {
			continue
		}
		free[e.State.Fabric] = append(free[e.State.Fabric], e)
	}
	return free
}

// chooseMembers returns the members of a new group, or nil: all of one fabric domain,
// and those that are ready soonest. Once there is traffic no group is formed whose
// members would have to load the model.
func (p *Planner) chooseMembers(free map[string][]EndpointState, model site.Model, snap Snapshot) []EndpointState {
	var best []EndpointState
	bestReadiness := absent + 1
	for _, fabric := range sortedFabrics(free) {
		endpoints := free[fabric]
		if r, reserved := p.reservations[fabric]; len(endpoints) < model.Size || reserved && r.model != model.Name {
			continue
		}
		sort.Slice(endpoints, func(i, j int) bool {
			a, b := p.readiness(endpoints[i], model.Name), p.readiness(endpoints[j], model.Name)
			if a != b {
				return a < b
			}
			return endpoints[i].ID < endpoints[j].ID
		})
		slowest := p.readiness(endpoints[model.Size-1], model.Name)
		if snap.HadTraffic && slowest == absent {
			continue
		}
		if slowest < bestReadiness {
			best, bestReadiness = endpoints[:model.Size], slowest
		}
	}
	return best
}

func sortedFabrics(free map[string][]EndpointState) []string {
	var names []string
	for name := range free {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// addGroup adds a new group with the given members.
func (p *Planner) addGroup(model site.Model, endpoints []EndpointState, snap Snapshot) {
	p.formed++
	epoch := p.term*epochsPerTerm + p.formed
	g := &group{name: "g" + strconv.FormatInt(epoch, 10), epoch: epoch, model: model, since: snap.Now, spread: isSpread(endpoints)}
	counts := map[readiness]int{}
	for _, e := range endpoints {
		g.members = append(g.members, member{e.ID, e.State.Started})
		counts[p.readiness(e, model.Name)]++
	}
	g.cause = fmt.Sprintf("formed: %d resident, %d staged, %d absent", counts[resident], counts[staged], counts[absent])
	p.groups[g.name] = g
}
