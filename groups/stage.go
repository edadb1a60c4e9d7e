package groups

import (
	"time"

	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
)

// stage is the position of a group in its life cycle.
type stage int

const (
	forming stage = iota // its members join
	opening              // its leader was ordered to serve
	serving              // its leader accepts requests
	closing              // its leader accepts no new requests
	ending               // its members leave
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=stage -output=stage_string.go

// group is one copy of a model and the endpoints that serve it.
type group struct {
	name    string
	epoch   int64
	model   site.Model
	members []member
	stage   stage
	since   time.Duration // boot clock: when it entered its stage
	spread  bool          // its members are in several fabric domains
	cause   string        // why it was formed or adopted, or was last closed, ended or reopened, as logged
}

// member is an endpoint of a group.
type member struct {
	id      string
	started int64 // site.State.Started when the group was formed or adopted: another value means that the endpoint has restarted
}

// advance updates the stage of a group and returns the orders that it needs.
func (p *Planner) advance(g *group, snap Snapshot) []Order {
	if g.stage < closing {
		p.checkGroup(g, snap)
	}
	switch g.stage {
	case forming:
		return p.join(g, snap)
	case opening:
		return p.open(g, snap)
	case closing:
		return p.close(g, snap)
	case ending:
		return p.leave(g, snap)
	}
	return nil
}

// checkGroup closes or ends a group that can't serve, or soon won't be able to. It
// reopens a serving group whose leader is back in phase site.Ready, in which it
// accepts no requests. An entry may be outdated or written by another party, so a
// member counts as having left only once its own report shows it. Until then a member
// that has left by its entry is suspected, and its report is requested.
func (p *Planner) checkGroup(g *group, snap Snapshot) {
	for i, m := range g.members {
		e, listed := snap.Endpoints[m.id]
		delete(p.suspected, m.id)
		switch {
		case !listed:
			p.setStage(g, ending, snap, "member "+m.id+" is gone")
		case e.Silent:
			p.setStage(g, ending, snap, "member "+m.id+" is silent")
		case e.State.Started != m.started:
			p.setStage(g, ending, snap, "member "+m.id+" started again")
		case e.State.Member.In(g.name, g.epoch) && e.State.Member.Phase == site.Broken:
			p.setStage(g, ending, snap, "broken at "+m.id)
		case g.stage != forming && !e.State.Member.In(g.name, g.epoch) && p.reportedOutside(e, g):
			p.setStage(g, ending, snap, "member "+m.id+" left")
		case g.stage != forming && !e.State.Member.In(g.name, g.epoch):
			p.suspected[m.id] = true
			continue
		case !e.Usable:
			p.retire(g, snap, "member "+m.id+" leaves service")
		case g.stage == serving && i == 0 && e.State.Member.Phase == site.Ready:
			p.setStage(g, opening, snap, "head closed")
		default:
			continue
		}
		return
	}
	if g.stage == forming && snap.HadTraffic && snap.Now-g.since > g.model.Load+joinSlack {
		p.setStage(g, ending, snap, "joining took too long")
	}
}

// retire closes a serving group, so that its requests can finish, and ends any
// other group at once.
func (p *Planner) retire(g *group, snap Snapshot, cause string) {
	if g.stage == serving {
		p.setStage(g, closing, snap, cause)
		return
	}
	p.setStage(g, ending, snap, cause)
}

func (p *Planner) setStage(g *group, s stage, snap Snapshot, cause string) {
	g.stage = s
	g.since = snap.Now
	g.cause = cause
}

// join orders the members to join, and opens the group once all are ready. It ends
// the group if a member proves to be in another one.
func (p *Planner) join(g *group, snap Snapshot) []Order {
	var orders []Order
	ready := 0
	for _, m := range g.members {
		e := snap.Endpoints[m.id]
		current := e.State.Member
		if current.In(g.name, g.epoch) {
			if current.Phase == site.Ready || current.Phase == site.Open {
				ready++
				p.lastModel[m.id] = g.model.Name
			}
			continue
		}
		// The endpoint is not known to be outside all groups, and it has accepted no
		// order that would explain this, such as that to join this group.
		if r := p.records[m.id]; r.sequenceKnown && !r.outside && r.outcome != accepted {
			p.setStage(g, ending, snap, "member "+m.id+" is in another group")
			return orders
		}
		order := platform.Order{Verb: platform.Join, Group: g.name, Epoch: g.epoch, Model: g.model.Name, Members: g.ids()}
		orders = append(orders, p.issue(e, order, snap)...)
	}
	if ready == len(g.members) && g.spread && !snap.HadTraffic {
		if p.warmedUp(g, snap) {
			p.setStage(g, ending, snap, "members are ready for two models")
		}
		return orders
	}
	if ready == len(g.members) {
		p.setStage(g, opening, snap, g.cause)
		return p.open(g, snap)
	}
	return orders
}

// open orders the leader to serve.
func (p *Planner) open(g *group, snap Snapshot) []Order {
	e := snap.Endpoints[g.leader()]
	if e.State.Member.Phase == site.Open {
		p.setStage(g, serving, snap, g.cause)
		return nil
	}
	return p.issue(e, platform.Order{Verb: platform.Begin, Group: g.name, Epoch: g.epoch}, snap)
}

// close orders the leader to accept no new requests. It ends the group once the
// leader has finished its requests (phase site.Ready), is unlisted, silent, broken or
// no longer in the group, or closeWait is over.
func (p *Planner) close(g *group, snap Snapshot) []Order {
	e, listed := snap.Endpoints[g.leader()]
	current := e.State.Member
	if !listed || e.Silent || !current.In(g.name, g.epoch) || current.Phase == site.Ready || current.Phase == site.Broken || snap.Now-g.since > closeWait {
		p.setStage(g, ending, snap, g.cause)
		return p.leave(g, snap)
	}
	if current.Phase == site.Closing {
		return nil
	}
	return p.issue(e, platform.Order{Verb: platform.Stop, Group: g.name, Epoch: g.epoch}, snap)
}

// leave orders the members to leave, and deletes the group once all have left. It
// doesn't wait for members that are unlisted or silent. The leader goes first: while
// it may serve, no member may join another group.
func (p *Planner) leave(g *group, snap Snapshot) []Order {
	var orders []Order
	allLeft := true
	for i, m := range g.members {
		e, listed := snap.Endpoints[m.id]
		if !listed || e.Silent || p.hasLeft(e, g) {
			continue
		}
		allLeft = false
		orders = append(orders, p.issue(e, platform.Order{Verb: platform.Leave, Group: g.name, Epoch: g.epoch}, snap)...)
		if i == 0 {
			return orders
		}
	}
	if allLeft {
		delete(p.groups, g.name)
	}
	return orders
}

// hasLeft reports whether an endpoint has left a group: it accepted the order to
// leave it as its last order, or its report shows it.
func (p *Planner) hasLeft(e EndpointState, g *group) bool {
	r := p.records[e.ID]
	lastOrder := r.lastOrder
	if lastOrder.Verb == platform.Leave && lastOrder.Group == g.name && r.sentAt > 0 {
		if r.outcome == accepted {
			return true
		}
	}
	return p.reportedOutside(e, g)
}

// reportedOutside reports whether an endpoint's own report shows it outside the
// group. The report must be from after the endpoint's last order and after the
// group entered its stage.
func (p *Planner) reportedOutside(e EndpointState, g *group) bool {
	return e.ReportAt > p.records[e.ID].sentAt && e.ReportAt > g.since && !e.Report.Member.In(g.name, g.epoch)
}
