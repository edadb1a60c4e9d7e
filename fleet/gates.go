package fleet

import (
	"cmp"
	"slices"

	"clementinehead.example/chead/chart"
)

// name gives replicas a new gate whose daemon is lost. While most daemons seem
// lost at once it may be the keeper that is cut off; then it names one gate a
// step.
func (p *plan) name() {
	renamed := 0
	for i := range p.next.Replicas {
		r := &p.next.Replicas[i]
		if r.State == chart.Gone || !p.gateLost(r.Gate) {
			continue
		}
		gate, ok := p.candidate(r.ID)
		if !ok || (p.storm() && renamed > 0) {
			return
		}
		p.note("rename", r.ID, r.Group, because(Gateless, "gate %s lost, now %s", cmp.Or(r.Gate, "none"), gate))
		r.Gate = gate
		r.Fence = p.fence()
		r.Named = r.Fence
		renamed++
	}
}

// gateLost reports whether a gate has to be named. A daemon that the roster
// has never heard of is not lost.
func (p *plan) gateLost(gate string) bool {
	if gate == "" {
		return true
	}
	return slices.ContainsFunc(p.in.Daemons, func(d Daemon) bool { return d.ID == gate && d.Lost })
}

func (p *plan) storm() bool {
	lost := 0
	for _, d := range p.in.Daemons {
		lost += truth(d.Lost)
	}
	return 2*lost > len(p.in.Daemons)
}

func (p *plan) candidate(replica string) (string, bool) {
	region := p.in.Document.Domains[p.next.Domain].Region
	ranked := Rendezvous(replica, p.next.Domain, region, p.in.Daemons)
	if len(ranked) == 0 {
		return "", false
	}
	return ranked[0], true
}

// Rendezvous ranks the daemons that are alive for a key: those of the failure
// domain first, then those of the region, then all others; by hash among
// equals, so that few keys move when a daemon comes or goes.
func Rendezvous(key, domain, region string, daemons []Daemon) []string {
	alive := slices.DeleteFunc(slices.Clone(daemons), func(d Daemon) bool { return !d.Alive })
	slices.SortFunc(alive, ranking(key, domain, region))
	ids := make([]string, 0, len(alive))
	for _, d := range alive {
		ids = append(ids, d.ID)
	}
	return ids
}

// Rank returns the place of a daemon in the order of Rendezvous, from 0, or
// limit where it has that or a later one, or is not alive.
func Rank(self Daemon, key, domain, region string, daemons []Daemon, limit int) int {
	if !self.Alive {
		return limit
	}
	compare := ranking(key, domain, region)
	rank := 0
	for _, d := range daemons {
		if d.Alive && d.ID != self.ID && compare(d, self) < 0 {
			rank++
		}
		if rank >= limit {
			return limit
		}
	}
	return rank
}

// ranking compares two daemons for a key.
func ranking(key, domain, region string) func(x, y Daemon) int {
	distance := func(d Daemon) int {
		return truth(d.Domain != domain) + truth(d.Domain != domain && d.Region != region)
	}
	return func(x, y Daemon) int {
		if far := cmp.Compare(distance(x), distance(y)); far != 0 {
			return far
		}
		return cmp.Or(cmp.Compare(hash(key, x.ID), hash(key, y.ID)), cmp.Compare(x.ID, y.ID))
	}
}
