package fleet

import (
	"fmt"

	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/conf"
)

// placeMissing places the replicas that this fabric domain lacks, highest
// priority first, as far as spares and load slots allow. It places none in a
// step that changes the number of fit instances, so that the other keepers
// apportion by the same number first.
func (p *plan) placeMissing() {
	if p.fitChanged {
		return
	}
	for _, name := range byPriority(p.in.Document) {
		for p.belowShare(name) && p.loadSlots[name] > 0 {
			if !p.place(name, p.in.Document.Groups[name]) {
				break
			}
		}
	}
}

// place adds a replica of a group with spares as its members. It returns false
// if there are too few spares.
func (p *plan) place(name string, group conf.Group) bool {
	spares := p.spares()
	if group.Size <= 0 || len(spares) < group.Size {
		return false
	}
	fence := p.nextFence()
	r := Replica{
		ID:      fmt.Sprintf("%s-%s-%d", name, p.next.Name, fence),
		Group:   name,
		Model:   group.Model,
		Adapter: group.Adapter,
		Version: group.Version,
		State:   chart.Replica().Start,
		Fence:   fence,
		Since:   p.in.Now,
	}
	for _, spare := range spares[:group.Size] {
		r.Members = append(r.Members, memberOf(spare))
	}
	r.Gate, _ = p.bestGate(r.ID)
	p.next.Replicas = append(p.next.Replicas, r)
	p.loadSlots[name]--
	p.addCause("place", r.ID, name, newReason(Wanted, "%d of %d replicas here", p.active(name), p.share[p.next.Name][name]))
	return true
}

// active returns the number of replicas of a group here that are neither
// draining nor gone.
func (p *plan) active(group string) int {
	count := 0
	for _, r := range p.next.Replicas {
		active := r.State != chart.Draining && r.State != chart.Gone
		count += btoi(r.Group == group && active)
	}
	return count
}
