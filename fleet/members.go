package fleet

import (
	"cmp"

	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/engine"
)

// checkMembers compares each replica with the reports of its members. It takes
// replicas into service whose members are all ready. It marks those with a
// failed member as broken, unless the fabric domain is unreachable.
func (p *plan) checkMembers() {
	for i := range p.next.Replicas {
		r := &p.next.Replicas[i]
		if p.allReady(r) {
			p.startServing(r)
			continue
		}
		if why := p.fault(r); why.isSet() && !p.unreachable {
			p.apply(r, chart.Lose, "lose", why)
		}
	}
}

// allReady reports whether all members hold the order of the replica and are
// ready.
func (p *plan) allReady(r *Replica) bool {
	for _, member := range r.Members {
		status, ok := p.in.Instances[member.Instance]
		if !ok || !status.Fresh() || !status.Answers() || !Matches(status.Report, r) {
			return false
		}
		if status.Report.State != engine.Ready {
			return false
		}
	}
	return true
}

// Matches reports whether an endpoint's report agrees with the order of a
// replica.
func Matches(report engine.Report, r *Replica) bool {
	return report.Fence == r.Fence && report.Replica == r.ID &&
		report.Model == r.Model && report.Adapter == r.Adapter && report.Version == r.Version
}

// startServing takes a replica into service whose members are all ready, and
// records their boot numbers. A serving or draining replica breaks if a member
// has restarted.
func (p *plan) startServing(r *Replica) {
	if r.State == chart.Serving || r.State == chart.Draining {
		if why := p.restarted(r); why.isSet() {
			p.apply(r, chart.Lose, "lose", why)
		}
		return
	}
	if p.excluded(r).isSet() {
		return
	}
	event := chart.Ready
	if r.State == chart.Broken {
		event = chart.Return
	}
	if !p.apply(r, event, "serve", newReason(Ready, "all members are ready")) {
		return
	}
	for i, member := range r.Members {
		r.Members[i].Boot = p.in.Instances[member.Instance].Report.Boot
	}
}

// fault returns what is wrong with the members of a replica, or no reason.
func (p *plan) fault(r *Replica) reason {
	for _, member := range r.Members {
		if why := p.missing(member); why.isSet() {
			return why
		}
	}
	if r.State == chart.Loading {
		return cmp.Or(p.overdue(r), p.superseded(r))
	}
	if why := p.restarted(r); why.isSet() {
		return why
	}
	return p.mismatched(r)
}

// missing returns a reason if a member is unlisted or silent.
func (p *plan) missing(member Member) reason {
	status, ok := p.in.Instances[member.Instance]
	switch {
	case !ok:
		return newReason(Vanished, "member %s gone", member.Instance)
	case status.State == chart.Silent:
		why := newReason(Silent, "member %s silent", member.Instance)
		why.since = status.At
		return why
	default:
		return reason{}
	}
}

// overdue returns a reason if a replica has been loading for too long.
func (p *plan) overdue(r *Replica) reason {
	if p.in.Now.Sub(r.Since) < p.in.Policy.LoadTimeout {
		return reason{}
	}
	return newReason(Overdue, "not ready after %v", p.in.Policy.LoadTimeout)
}

// superseded returns a reason if a member holds a later order than that of the
// replica.
func (p *plan) superseded(r *Replica) reason {
	for _, member := range r.Members {
		if p.in.Instances[member.Instance].Report.Fence > r.Fence {
			return newReason(Strayed, "member %s holds another order", member.Instance)
		}
	}
	return reason{}
}

// restarted returns a reason if a member has another boot number than when the
// replica entered service.
func (p *plan) restarted(r *Replica) reason {
	for _, member := range r.Members {
		status := p.in.Instances[member.Instance]
		if member.Boot != 0 && status.Answers() && status.Report.Boot != member.Boot {
			return newReason(Restarted, "member %s restarted", member.Instance)
		}
	}
	return reason{}
}

// mismatched returns a reason if a member holds the order of another replica or
// a later order, or is not ready. An older fencing token of the same replica
// is no fault: a new gate was assigned, and the order has not arrived yet.
func (p *plan) mismatched(r *Replica) reason {
	for _, member := range r.Members {
		status := p.in.Instances[member.Instance]
		if !status.Answers() {
			continue
		}
		if status.Report.Replica != r.ID || status.Report.Fence > r.Fence {
			return newReason(Strayed, "member %s holds another order", member.Instance)
		}
		if status.Report.State != engine.Ready {
			return newReason(Unready, "member %s not ready", member.Instance)
		}
	}
	return reason{}
}

// excluded returns why a replica may not take new work, or no reason.
func (p *plan) excluded(r *Replica) reason {
	for _, member := range r.Members {
		status, ok := p.in.Instances[member.Instance]
		if !ok {
			continue
		}
		if text := Excluded(status, p.in.Document); text != "" {
			return newReason(Withdrawn, "%s", text)
		}
	}
	return reason{}
}
