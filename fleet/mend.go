package fleet

import (
	"cmp"
	"slices"

	"clementinehead.example/chead/chart"
)

// mend gives broken replicas a new order: with spares in the place of missing
// members, and loaded anew where a member has restarted.
func (p *plan) mend() {
	for _, r := range p.brokenByPriority() {
		p.remake(r)
	}
}

// brokenByPriority returns the broken replicas: the highest priority first,
// then those that lack the fewest members.
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
			cmp.Compare(len(p.absent(x)), len(p.absent(y))),
			cmp.Compare(x.ID, y.ID),
		)
	})
	return broken
}

// remake orders a replica's members anew, with spares for those that can't go
// on. It is false where that can't be done now.
func (p *plan) remake(r *Replica) bool {
	group, ok := p.in.Document.Groups[r.Group]
	if !ok || p.slots[r.Group] <= 0 {
		return false
	}
	members, why, ok := p.recruit(r, group.Size)
	if !ok || !p.take(r, chart.Mend, "mend", why) {
		return false
	}
	p.slots[r.Group]--
	r.Members = members
	r.Model, r.Adapter, r.Version = group.Model, group.Adapter, group.Version
	r.Fence = p.fence()
	return true
}

// recruit returns a replica's members with spares in the place of those that
// can't go on, and what was done. It is false where there are too few spares,
// or where a member may still come back.
func (p *plan) recruit(r *Replica, size int) ([]Member, reason, bool) {
	spares := p.spares()
	members := slices.Clone(r.Members)
	if len(members) > size {
		members = members[:size]
	}
	why := because(Renewed, "members there")
	for i, member := range members {
		if p.stays(member) {
			members[i].Boot = 0
			continue
		}
		if !p.absentNow(member) || len(spares) == 0 {
			return nil, reason{}, false
		}
		members[i] = memberOf(spares[0])
		why = because(Renewed, "spare %s for %s", spares[0].Instance.ID, member.Instance)
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

func memberOf(seen Seen) Member {
	return Member{Instance: seen.Instance.ID, Address: seen.Instance.Address}
}

// stays reports whether a member answers and may go on. A slow one does only
// while there is no spare.
func (p *plan) stays(member Member) bool {
	switch p.in.Seen[member.Instance].State {
	case chart.Live, chart.Returning:
		return true
	case chart.Slow:
		return len(p.spares()) == 0
	default:
		return false
	}
}

// absentNow reports whether a member can't go on and is not waited for.
func (p *plan) absentNow(member Member) bool {
	seen, ok := p.in.Seen[member.Instance]
	if !ok {
		return true
	}
	switch seen.State {
	case chart.Out, chart.Slow:
		return true
	case chart.Silent:
		return p.in.Now.Sub(seen.Since) >= p.in.Policy.Patience
	default:
		return false
	}
}

// absent returns the members of a replica that can't go on.
func (p *plan) absent(r *Replica) []string {
	var absent []string
	for _, member := range r.Members {
		if !p.stays(member) {
			absent = append(absent, member.Instance)
		}
	}
	return absent
}
