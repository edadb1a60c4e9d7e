package groups

import "time"

const (
	slowPace   = 2.5             // State.Pace from which an endpoint counts as slow; its whole group runs at its pace
	slowMemory = 3 * time.Second // for which an endpoint counts as slow after the last report that said so
)

// slowness is what an endpoint's own report said of its pace.
type slowness struct {
	pace  float64
	until time.Duration // boot clock
}

// updateSlow records the endpoints that are slow by their own reports.
func (p *Planner) updateSlow(snap Snapshot) {
	for id, s := range p.slow {
		e, listed := snap.Endpoints[id]
		recovered := e.ReportAt > 0 && e.Report.Pace < slowPace
		if !listed || recovered || snap.Now > s.until {
			delete(p.slow, id)
		}
	}
	for id, e := range snap.Endpoints {
		if e.ReportAt > snap.Now-slowMemory && e.Report.Pace >= slowPace {
			p.slow[id] = slowness{pace: e.Report.Pace, until: e.ReportAt + slowMemory}
		}
	}
}

// SlowEndpoints returns the endpoints that count as slow. Their reports are needed now
// and then, as they show when they have recovered.
func (p *Planner) SlowEndpoints() []string {
	ids := make([]string, 0, len(p.slow))
	for id := range p.slow {
		ids = append(ids, id)
	}
	return ids
}

// pace returns the pace of a group's slowest member, at least 1.
func (p *Planner) pace(g *group) float64 {
	slowest := 1.0
	for _, m := range g.members {
		slowest = max(slowest, p.slow[m.id].pace)
	}
	return slowest
}

// replaceSlow retires a serving group that a slow member holds up, if its other members
// and free endpoints of the fabric domain can form the group without a load.
func (p *Planner) replaceSlow(g *group, free map[string][]EndpointState, snap Snapshot) bool {
	if g.stage != serving || g.spread || p.pace(g) < slowPace {
		return false
	}
	fast := p.countPrepared(free[fabricOf(g, snap)], g.model)
	slowest := ""
	for _, m := range g.members {
		if s, slow := p.slow[m.id]; !slow {
			fast++
		} else if slowest == "" || s.pace > p.slow[slowest].pace {
			slowest = m.id
		}
	}
	if fast < g.model.Size {
		return false
	}
	p.retire(g, snap, "member "+slowest+" is slow")
	return true
}

// replaceSlowMembers retires the groups that can do without their slow members, one in
// each fabric domain at a time.
func (p *Planner) replaceSlowMembers(snap Snapshot) {
	if len(p.slow) == 0 {
		return
	}
	free := p.freeEndpoints(snap)
	changing := p.inTransit(snap)
	for _, g := range p.sortedGroups() {
		fabric := fabricOf(g, snap)
		if !changing[fabric] && p.replaceSlow(g, free, snap) {
			changing[fabric] = true
		}
	}
}
