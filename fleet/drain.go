package fleet

import (
	"cmp"
	"slices"
	"time"

	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/conf"
)

// drain starts drains of replicas that should leave service, advances running
// drains, and returns a draining replica to service once the reason for its
// drain has passed. It also cancels loads and drops broken replicas that are
// not wanted any more.
func (p *plan) drain() {
	surplus := p.surplus()
	for i := range p.next.Replicas {
		r := &p.next.Replicas[i]
		why := cmp.Or(p.excluded(r), p.slowMember(r), p.rolloutReason(r))
		switch r.State {
		case chart.Serving:
			if why = cmp.Or(why, p.releaseReason(r, surplus[r.ID])); why.isSet() {
				p.apply(r, chart.Drain, "drain", why)
			}
		case chart.Draining:
			p.continueDrain(r, why)
		case chart.Loading:
			p.cancelLoad(r, surplus[r.ID])
		case chart.Broken:
			if surplus[r.ID].isSet() {
				p.drop(r, surplus[r.ID])
			}
		}
	}
}

// slowMember returns a reason if a member is slow and there is a spare to
// replace it.
func (p *plan) slowMember(r *Replica) reason {
	for _, member := range r.Members {
		if p.in.Instances[member.Instance].State == chart.Slow && len(p.spares()) > 0 {
			return newReason(Slow, "member %s slow", member.Instance)
		}
	}
	return reason{}
}

// surplus returns the replicas above the share of this fabric domain, by ID,
// with the reason.
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
		p.sortByPreference(replicas)
		for _, replica := range replicas[want:] {
			surplus[replica.ID] = p.surplusReason(name)
		}
	}
	return surplus
}

// surplusReason returns why a group has more replicas here than its share.
func (p *plan) surplusReason(group string) reason {
	configured, ok := p.in.Document.Groups[group]
	switch {
	case !ok:
		return newReason(Removed, "group %s removed", group)
	case p.lacksCapacity(group, configured):
		return newReason(Short, "instances short")
	default:
		return newReason(Surplus, "above its share here")
	}
}

// sortByPreference sorts a group's replicas, those to keep first.
func (p *plan) sortByPreference(replicas []Replica) {
	slices.SortFunc(replicas, func(x, y Replica) int {
		group := p.in.Document.Groups[x.Group]
		return cmp.Or(
			cmp.Compare(stateRank(x.State), stateRank(y.State)),
			cmp.Compare(btoi(Outdated(x, group)), btoi(Outdated(y, group))),
			cmp.Compare(len(p.unusable(&x)), len(p.unusable(&y))),
			x.Since.Compare(y.Since),
			cmp.Compare(x.ID, y.ID),
		)
	})
}

// lacksCapacity reports whether the fabric domains together cannot hold all
// wanted replicas of a group.
func (p *plan) lacksCapacity(name string, group conf.Group) bool {
	return p.share.Total(name) < group.Replicas
}

// releaseReason returns why a surplus replica is to be drained now, or no
// reason. The drain waits until enough other replicas serve, unless the group
// is removed or instances are short and its place is needed.
func (p *plan) releaseReason(r *Replica, why reason) reason {
	if !why.isSet() {
		return reason{}
	}
	group, ok := p.in.Document.Groups[r.Group]
	if !ok || p.lacksCapacity(r.Group, group) || p.otherServing(r) >= group.Replicas {
		return why
	}
	return reason{}
}

// otherServing returns the number of serving replicas in r's group without r.
func (p *plan) otherServing(r *Replica) int {
	return CountServing(p.in.Document, p.fabrics(), r.Group) - btoi(r.State == chart.Serving)
}

// cancelLoad ends the load of a replica that is surplus, has an excluded
// member, or does not match its group any more.
func (p *plan) cancelLoad(r *Replica, surplus reason) {
	if surplus.isSet() {
		p.drop(r, surplus)
		return
	}
	if why := p.excluded(r); why.isSet() {
		p.apply(r, chart.Lose, "lose", why)
		return
	}
	if Outdated(*r, p.in.Document.Groups[r.Group]) {
		p.apply(r, chart.Lose, "lose", newReason(Changed, "group changed"))
	}
}

// drop removes a replica and so frees its members. It issues a new fencing
// token so that endpoints accept the orders to be idle. With
// Policy.KeepIncomplete, a replica stays if its group lacks capacity.
func (p *plan) drop(r *Replica, why reason) {
	group, ok := p.in.Document.Groups[r.Group]
	if ok && p.in.Policy.KeepIncomplete && p.lacksCapacity(r.Group, group) {
		return
	}
	if p.apply(r, chart.Drop, "drop", why) {
		p.nextFence()
	}
}

// continueDrain advances a drain. It returns the replica to service if the
// reason for the drain has passed and the group lacks a replica.
func (p *plan) continueDrain(r *Replica, why reason) {
	group := p.in.Document.Groups[r.Group]
	needed := CountServing(p.in.Document, p.fabrics(), r.Group) < group.Replicas
	if !why.isSet() && needed && !p.lacksCapacity(r.Group, group) && p.allReady(r) && !Outdated(*r, group) {
		p.apply(r, chart.Return, "serve", newReason(Ready, "back in service"))
		return
	}
	if !p.drainComplete(r) || p.keepLoaded(r, group) {
		return
	}
	if p.belowShare(r.Group) && p.rebuild(r) {
		return
	}
	if !p.belowShare(r.Group) || p.drainExpired(r) {
		p.drop(r, newReason(Drained, "drained"))
	}
}

// drainComplete reports whether no request runs any more, or the drain has
// lasted as long as a request may. It is false during Policy.MinDrain, since
// load reports lag.
func (p *plan) drainComplete(r *Replica) bool {
	if p.in.Now.Sub(r.Since) < p.in.Policy.MinDrain {
		return false
	}
	if p.drainExpired(r) {
		return true
	}
	for _, member := range r.Members {
		status := p.in.Instances[member.Instance]
		if status.Fresh() && status.Report.Running+status.Report.Waiting > 0 {
			return false
		}
	}
	return true
}

// drainExpired reports whether a drain has lasted as long as a request may.
func (p *plan) drainExpired(r *Replica) bool {
	return p.in.Now.Sub(r.Since) >= time.Duration(p.in.Document.Limits.Request)
}

// keepLoaded reports whether a drained replica stays loaded. It does until
// another serves in its place, since it may return to service until then.
func (p *plan) keepLoaded(r *Replica, group conf.Group) bool {
	if p.drainExpired(r) || p.belowShare(r.Group) || p.lacksCapacity(r.Group, group) {
		return false
	}
	return CountServing(p.in.Document, p.fabrics(), r.Group) < group.Replicas
}

// belowShare reports whether this fabric domain has fewer replicas of a group
// than its share, without the draining ones.
func (p *plan) belowShare(group string) bool {
	return p.active(group) < p.share[p.next.Name][group]
}

// rolloutReason returns a reason if a replica is to be drained now because its
// group's configuration changed. One replica of a group is replaced at a time,
// and only while enough others serve.
func (p *plan) rolloutReason(r *Replica) reason {
	group, ok := p.in.Document.Groups[r.Group]
	if !ok || !Outdated(*r, group) {
		return reason{}
	}
	if r.State == chart.Draining {
		return newReason(Changed, "group changed")
	}
	if !p.nextToRoll(r, group) {
		return reason{}
	}
	others := p.otherServing(r)
	if others >= group.Replicas {
		return newReason(Changed, "group changed")
	}
	surging := p.share.Total(r.Group) > group.Replicas
	if surging || others < max(1, group.Replicas-1) {
		return reason{}
	}
	return newReason(Changed, "group changed, no room beside it")
}

// nextToRoll reports whether a replica is the next of its group to be replaced:
// all replaced ones serve, no outdated one is draining, and it has the lowest
// ID of the outdated ones.
func (p *plan) nextToRoll(r *Replica, group conf.Group) bool {
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
