package fleet

import (
	"cmp"
	"slices"
	"time"

	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/conf"
)

// drain takes replicas out of service that shall not go on, finishes drains,
// and takes replicas back whose reason to drain has passed.
func (p *plan) drain() {
	surplus := p.surplus()
	for i := range p.next.Replicas {
		r := &p.next.Replicas[i]
		why := cmp.Or(p.excluded(r), p.straggles(r), p.turn(r))
		switch r.State {
		case chart.Serving:
			if why = cmp.Or(why, p.relieved(r, surplus[r.ID])); why.given() {
				p.take(r, chart.Drain, "drain", why)
			}
		case chart.Draining:
			p.drained(r, why)
		case chart.Loading:
			p.reconsider(r, surplus[r.ID])
		case chart.Broken:
			if surplus[r.ID].given() {
				p.drop(r, surplus[r.ID])
			}
		}
	}
}

// straggles says which member is slow while a spare could take its place, or
// nothing.
func (p *plan) straggles(r *Replica) reason {
	for _, member := range r.Members {
		if p.in.Seen[member.Instance].State == chart.Slow && len(p.spares()) > 0 {
			return because(Slow, "member %s slow", member.Instance)
		}
	}
	return reason{}
}

// surplus returns the replicas that this fabric domain shall not hold, with
// the reason.
func (p *plan) surplus() map[string]reason {
	surplus := map[string]reason{}
	byGroup := map[string][]Replica{}
	for _, replica := range p.next.Replicas {
		if replica.State != chart.Draining && replica.State != chart.Gone {
			byGroup[replica.Group] = append(byGroup[replica.Group], replica)
		}
	}
	for name, replicas := range byGroup {
		want := p.share[p.next.Name][name]
		if len(replicas) <= want {
			continue
		}
		p.byMerit(replicas)
		for _, replica := range replicas[want:] {
			surplus[replica.ID] = p.surplusReason(name)
		}
	}
	return surplus
}

func (p *plan) surplusReason(group string) reason {
	configured, ok := p.in.Document.Groups[group]
	switch {
	case !ok:
		return because(Removed, "group %s removed", group)
	case p.short(group, configured):
		return because(Short, "instances short")
	default:
		return because(Surplus, "above its share here")
	}
}

// byMerit sorts a group's replicas, the ones to keep first.
func (p *plan) byMerit(replicas []Replica) {
	slices.SortFunc(replicas, func(x, y Replica) int {
		group := p.in.Document.Groups[x.Group]
		return cmp.Or(
			cmp.Compare(rank(x.State), rank(y.State)),
			cmp.Compare(truth(Outdated(x, group)), truth(Outdated(y, group))),
			cmp.Compare(len(p.absent(&x)), len(p.absent(&y))),
			x.Since.Compare(y.Since),
			cmp.Compare(x.ID, y.ID),
		)
	})
}

// short reports whether not all wanted replicas of a group fit anywhere.
func (p *plan) short(name string, group conf.Group) bool {
	return p.share.Total(name) < group.Replicas
}

// relieved returns the reason to drain a surplus replica that serves, once
// enough others do, or at once where its place is needed.
func (p *plan) relieved(r *Replica, why reason) reason {
	if !why.given() {
		return reason{}
	}
	group, ok := p.in.Document.Groups[r.Group]
	if !ok || p.short(r.Group, group) || p.servingBeside(r) >= group.Replicas {
		return why
	}
	return reason{}
}

// servingBeside counts the replicas of r's group that serve, without r.
func (p *plan) servingBeside(r *Replica) int {
	return Serving(p.in.Document, p.fabrics(), r.Group) - truth(r.State == chart.Serving)
}

// reconsider gives up a load that is not wanted any more.
func (p *plan) reconsider(r *Replica, surplus reason) {
	if surplus.given() {
		p.drop(r, surplus)
		return
	}
	if why := p.excluded(r); why.given() {
		p.take(r, chart.Lose, "lose", why)
		return
	}
	if Outdated(*r, p.in.Document.Groups[r.Group]) {
		p.take(r, chart.Lose, "lose", because(Changed, "group changed"))
	}
}

// drop sets a replica's members free. The higher fencing number lets their
// orders to be idle pass. With Policy.Keep a replica that is only short of
// instances stays.
func (p *plan) drop(r *Replica, why reason) {
	group, ok := p.in.Document.Groups[r.Group]
	if ok && p.in.Policy.Keep && p.short(r.Group, group) {
		return
	}
	if p.take(r, chart.Drop, "drop", why) {
		p.fence()
	}
}

// drained goes on with a drain, or takes it back where its reason has passed
// and the replica is missed.
func (p *plan) drained(r *Replica, why reason) {
	group := p.in.Document.Groups[r.Group]
	missed := Serving(p.in.Document, p.fabrics(), r.Group) < group.Replicas
	if !why.given() && missed && !p.short(r.Group, group) && p.whole(r) && !Outdated(*r, group) {
		p.take(r, chart.Return, "serve", because(Ready, "back in service"))
		return
	}
	if !p.finished(r) || p.held(r, group) {
		return
	}
	if p.wanted(r.Group) && p.remake(r) {
		return
	}
	if !p.wanted(r.Group) || p.expired(r) {
		p.drop(r, because(Drained, "drained"))
	}
}

// finished reports whether nothing runs any more, by load reports that lag, or
// the drain has lasted as long as a request may.
func (p *plan) finished(r *Replica) bool {
	if p.in.Now.Sub(r.Since) < p.in.Policy.Quiet {
		return false
	}
	if p.expired(r) {
		return true
	}
	for _, member := range r.Members {
		seen := p.in.Seen[member.Instance]
		if seen.Fresh() && seen.Report.Running+seen.Report.Waiting > 0 {
			return false
		}
	}
	return true
}

func (p *plan) expired(r *Replica) bool {
	return p.in.Now.Sub(r.Since) >= time.Duration(p.in.Document.Limits.Request)
}

// held reports whether a drained replica is kept loaded until another serves
// in its place, since it may come back until then.
func (p *plan) held(r *Replica, group conf.Group) bool {
	if p.expired(r) || p.wanted(r.Group) || p.short(r.Group, group) {
		return false
	}
	return Serving(p.in.Document, p.fabrics(), r.Group) < group.Replicas
}

// wanted reports whether this fabric domain shall hold more replicas of a
// group than it has without the draining ones.
func (p *plan) wanted(group string) bool {
	return p.going(group) < p.share[p.next.Name][group]
}

// turn says that it is a replica's turn to roll to what its group offers now,
// or nothing. One replica of a group rolls at a time, and none before enough
// others serve.
func (p *plan) turn(r *Replica) reason {
	group, ok := p.in.Document.Groups[r.Group]
	if !ok || !Outdated(*r, group) {
		return reason{}
	}
	if r.State == chart.Draining {
		return because(Changed, "group changed")
	}
	if !p.first(r, group) {
		return reason{}
	}
	beside := p.servingBeside(r)
	if beside >= group.Replicas {
		return because(Changed, "group changed")
	}
	surging := p.share.Total(r.Group) > group.Replicas
	if surging || beside < max(1, group.Replicas-1) {
		return reason{}
	}
	return because(Changed, "group changed, no room beside it")
}

// first reports whether a replica is the next of its group to roll: all that
// have rolled serve, none is rolling, and it has the lowest id.
func (p *plan) first(r *Replica, group conf.Group) bool {
	for _, fabric := range p.fabrics() {
		for _, other := range fabric.Replicas {
			if other.Group != r.Group || other.ID == r.ID {
				continue
			}
			outdated := Outdated(other, group)
			if !outdated && other.State != chart.Serving {
				return false
			}
			if outdated && (other.State == chart.Draining || other.ID < r.ID) {
				return false
			}
		}
	}
	return true
}
