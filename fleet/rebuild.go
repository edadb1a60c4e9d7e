package fleet

import (
	"cmp"
	"slices"

	"clementinehead.example/chead/chart"
)

// mend gives broken replicas a new order. Spares replace missing members, and a
// replica with a restarted member is loaded again.
func (p *plan) mend() {
	for _, r := range p.brokenByPriority() {
		p.rebuild(r)
	}
}

// brokenByPriority returns the broken replicas, highest priority first, then
// those with the fewest unusable members.
func (p *plan) brokenByPriority() []*Replica {
	var broken []*Replica
	for i := range p.next.Replicas {
		if r := &p.next.Replicas[i]; r.State == chart.Broken {
			broken = append(broken, r)
		}
	}
	slices.SortFunc(broken, func(x, y *Replica) int {
		groups := p.in.Document.Groups
		return cmp.Or(
			cmp.Compare(groups[y.Group].Priority, groups[x.Group].Priority),
			cmp.Compare(len(p.unusable(x)), len(p.unusable(y))),
			cmp.Compare(x.ID, y.ID),
		)
	})
	return broken
}

// rebuild gives a replica a new order, with spares in place of unusable
// members. It returns false if that is not possible now.
func (p *plan) rebuild(r *Replica) bool {
	group, ok := p.in.Document.Groups[r.Group]
	if !ok || p.loadSlots[r.Group] <= 0 {
		return false
	}
	members, why, ok := p.replaceMembers(r, group.Size)
	if !ok || !p.apply(r, chart.Mend, "mend", why) {
		return false
	}
	p.loadSlots[r.Group]--
	r.Members = members
	r.Model, r.Adapter, r.Version = group.Model, group.Adapter, group.Version
	r.Fence = p.nextFence()
	return true
}

// replaceMembers returns the members of a replica with spares in place of the
// unusable ones, and what was done. It returns false if there are too few
// spares or an unusable member may still return.
func (p *plan) replaceMembers(r *Replica, size int) ([]Member, reason, bool) {
	spares := p.spares()
	members := slices.Clone(r.Members)
	if len(members) > size {
		members = members[:size]
	}
	why := newReason(Renewed, "members there")
	for i, member := range members {
		if p.usable(member) {
			members[i].Boot = 0
			continue
		}
		if !p.replaceable(member) || len(spares) == 0 {
			return nil, reason{}, false
		}
		members[i] = memberOf(spares[0])
		why = newReason(Renewed, "spare %s for %s", spares[0].Instance.ID, member.Instance)
		spares = spares[1:]
	}
	for len(members) < size {
		if len(spares) == 0 {
			return nil, reason{}, false
		}
		members = append(members, memberOf(spares[0]))
		spares = spares[1:]
	}
	return members, why, true
}

// memberOf returns an instance as a member without a boot number.
func memberOf(status InstanceStatus) Member {
	return Member{Instance: status.Instance.ID, Address: status.Instance.Address}
}

// usable reports whether a member answers and may stay. A slow one may only
// while there is no spare.
func (p *plan) usable(member Member) bool {
	switch p.in.Instances[member.Instance].State {
	case chart.Live, chart.Returning:
		return true
	case chart.Slow:
		return len(p.spares()) == 0
	default:
		return false
	}
}

// replaceable reports whether an unusable member may be replaced now.
func (p *plan) replaceable(member Member) bool {
	status, ok := p.in.Instances[member.Instance]
	if !ok {
		return true
	}
	switch status.State {
	case chart.Out, chart.Slow:
		return true
	case chart.Silent:
		return p.in.Now.Sub(status.Since) >= p.in.Policy.SilentGrace
	default:
		return false
	}
}

// unusable returns the members of a replica that may not stay.
func (p *plan) unusable(r *Replica) []string {
	var unusable []string
	for _, member := range r.Members {
		if !p.usable(member) {
			unusable = append(unusable, member.Instance)
		}
	}
	return unusable
}
