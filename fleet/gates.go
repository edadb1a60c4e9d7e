package fleet

import (
	"cmp"
	"slices"

	"clementinehead.example/chead/chart"
)

// assignGates assigns a new gate to each replica whose gate is lost. If most
// daemons appear lost, the keeper itself may be cut off, so it then assigns
// only one gate in a step.
func (p *plan) assignGates() {
	assigned := 0
	for i := range p.next.Replicas {
		r := &p.next.Replicas[i]
		if r.State == chart.Gone || !p.needsGate(r.Gate) {
			continue
		}
		gate, ok := p.bestGate(r.ID)
		if !ok || (p.mostLost() && assigned > 0) {
			return
		}
		p.addCause("rename", r.ID, r.Group, newReason(Gateless, "gate %s lost, now %s", cmp.Or(r.Gate, "none"), gate))
		r.Gate = gate
		r.Fence = p.nextFence()
		r.GateFence = r.Fence
		assigned++
	}
}

// needsGate reports whether a new gate has to be assigned. A daemon that is not
// in the roster does not count as lost.
func (p *plan) needsGate(gate string) bool {
	if gate == "" {
		return true
	}
	return slices.ContainsFunc(p.in.Daemons, func(d Daemon) bool { return d.ID == gate && d.Lost })
}

// mostLost reports whether more than half of the daemons are lost.
func (p *plan) mostLost() bool {
	lost := 0
	for _, d := range p.in.Daemons {
		lost += btoi(d.Lost)
	}
	return 2*lost > len(p.in.Daemons)
}

// bestGate returns the first daemon for a replica by Rendezvous, or false if
// none is alive.
func (p *plan) bestGate(replica string) (string, bool) {
	region := p.in.Document.Domains[p.next.Domain].Region
	ranked := Rendezvous(replica, p.next.Domain, region, p.in.Daemons)
	if len(ranked) == 0 {
		return "", false
	}
	return ranked[0], true
}

// Rendezvous ranks the live daemons for a key by rendezvous hashing: those of
// the failure domain first, then those of the region, then all others. Within
// each of these the hash decides, so that few keys move when a daemon joins or
// leaves.
func Rendezvous(key, domain, region string, daemons []Daemon) []string {
	alive := slices.DeleteFunc(slices.Clone(daemons), func(d Daemon) bool { return !d.Alive })
	slices.SortFunc(alive, daemonOrder(key, domain, region))
	ids := make([]string, 0, len(alive))
	for _, d := range alive {
		ids = append(ids, d.ID)
	}
	return ids
}

// Rank returns the position of a daemon in the order of Rendezvous, from 0. It
// returns limit if the position is limit or greater, or the daemon is not
// alive.
func Rank(self Daemon, key, domain, region string, daemons []Daemon, limit int) int {
	if !self.Alive {
		return limit
	}
	compare := daemonOrder(key, domain, region)
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

// daemonOrder returns a function that compares two daemons by their rank for a
// key.
func daemonOrder(key, domain, region string) func(x, y Daemon) int {
	distance := func(d Daemon) int {
		return btoi(d.Domain != domain) + btoi(d.Domain != domain && d.Region != region)
	}
	return func(x, y Daemon) int {
		if order := cmp.Compare(distance(x), distance(y)); order != 0 {
			return order
		}
		return cmp.Or(cmp.Compare(hash(key, x.ID), hash(key, y.ID)), cmp.Compare(x.ID, y.ID))
	}
}
