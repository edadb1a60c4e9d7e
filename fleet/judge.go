package fleet

import (
	"cmp"

	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/engine"
)

// judge compares each replica with what its members report.
func (p *plan) judge() {
	for i := range p.next.Replicas {
		r := &p.next.Replicas[i]
		if p.whole(r) {
			p.ready(r)
			continue
		}
		if why := p.fault(r); why.given() && !p.dark {
			p.take(r, chart.Lose, "lose", why)
		}
	}
}

// whole reports whether all members hold the replica's order and are ready.
func (p *plan) whole(r *Replica) bool {
	for _, member := range r.Members {
		seen, ok := p.in.Seen[member.Instance]
		if !ok || !seen.Fresh() || !seen.Answers() || !Holds(seen.Report, r) {
			return false
		}
		if seen.Report.State != engine.Ready {
			return false
		}
	}
	return true
}

// Holds reports whether an endpoint reports exactly a replica's order.
func Holds(report engine.Report, r *Replica) bool {
	return report.Fence == r.Fence && report.Replica == r.ID &&
		report.Model == r.Model && report.Adapter == r.Adapter && report.Version == r.Version
}

// ready takes a whole replica into service and notes the boots of its members.
func (p *plan) ready(r *Replica) {
	if r.State == chart.Serving || r.State == chart.Draining {
		if why := p.rebooted(r); why.given() {
			p.take(r, chart.Lose, "lose", why)
		}
		return
	}
	if p.excluded(r).given() {
		return
	}
	event := chart.Ready
	if r.State == chart.Broken {
		event = chart.Return
	}
	if !p.take(r, event, "serve", because(Ready, "all members are ready")) {
		return
	}
	for i, member := range r.Members {
		r.Members[i].Boot = p.in.Seen[member.Instance].Report.Boot
	}
}

// fault says what is wrong with a replica's members, or nothing.
func (p *plan) fault(r *Replica) reason {
	for _, member := range r.Members {
		if why := p.missing(member); why.given() {
			return why
		}
	}
	if r.State == chart.Loading {
		return cmp.Or(p.overdue(r), p.overtaken(r))
	}
	if why := p.rebooted(r); why.given() {
		return why
	}
	return p.strayed(r)
}

// missing says why a member isn't there, or nothing.
func (p *plan) missing(member Member) reason {
	seen, ok := p.in.Seen[member.Instance]
	switch {
	case !ok:
		return because(Vanished, "member %s gone", member.Instance)
	case seen.State == chart.Silent:
		why := because(Silent, "member %s silent", member.Instance)
		why.from = seen.At
		return why
	default:
		return reason{}
	}
}

func (p *plan) overdue(r *Replica) reason {
	if p.in.Now.Sub(r.Since) < p.in.Policy.Load {
		return reason{}
	}
	return because(Overdue, "not ready after %v", p.in.Policy.Load)
}

// overtaken says which member holds a later order than its own, or nothing.
func (p *plan) overtaken(r *Replica) reason {
	for _, member := range r.Members {
		if p.in.Seen[member.Instance].Report.Fence > r.Fence {
			return because(Strayed, "member %s holds another order", member.Instance)
		}
	}
	return reason{}
}

// rebooted says which member has another boot number than when it was taken
// into service, or nothing.
func (p *plan) rebooted(r *Replica) reason {
	for _, member := range r.Members {
		seen := p.in.Seen[member.Instance]
		if member.Boot != 0 && seen.Answers() && seen.Report.Boot != member.Boot {
			return because(Restarted, "member %s restarted", member.Instance)
		}
	}
	return reason{}
}

// strayed says which member holds another replica's order, or is not ready, or
// nothing. An older fencing number of the same replica is no fault: a new gate
// was named, and the order is on its way.
func (p *plan) strayed(r *Replica) reason {
	for _, member := range r.Members {
		seen := p.in.Seen[member.Instance]
		if !seen.Answers() {
			continue
		}
		if seen.Report.Replica != r.ID || seen.Report.Fence > r.Fence {
			return because(Strayed, "member %s holds another order", member.Instance)
		}
		if seen.Report.State != engine.Ready {
			return because(Unready, "member %s not ready", member.Instance)
		}
	}
	return reason{}
}

// excluded says why a replica must not take new work, or nothing.
func (p *plan) excluded(r *Replica) reason {
	for _, member := range r.Members {
		seen, ok := p.in.Seen[member.Instance]
		if !ok {
			continue
		}
		if text := Excluded(seen, p.in.Document); text != "" {
			return because(Withdrawn, "%s", text)
		}
	}
	return reason{}
}
