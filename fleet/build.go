package fleet

import (
	"fmt"

	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/conf"
)

// build places the replicas that this fabric domain shall hold and doesn't, as
// far as spares and loads allow; the highest priority goes first. It waits a
// step where the number of fit instances changes, so that the others share out
// by the same numbers.
func (p *plan) build() {
	if p.counted {
		return
	}
	for _, name := range byPriority(p.in.Document) {
		for p.wanted(name) && p.slots[name] > 0 {
			if !p.place(name, p.in.Document.Groups[name]) {
				break
			}
		}
	}
}

func (p *plan) place(name string, group conf.Group) bool {
	spares := p.spares()
	if group.Size <= 0 || len(spares) < group.Size {
		return false
	}
	fence := p.fence()
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
	r.Gate, _ = p.candidate(r.ID)
	p.next.Replicas = append(p.next.Replicas, r)
	p.slots[name]--
	p.note("place", r.ID, name, because(Wanted, "%d of %d replicas here", p.going(name), p.share[p.next.Name][name]))
	return true
}

// going counts a group's replicas here that go on.
func (p *plan) going(group string) int {
	count := 0
	for _, r := range p.next.Replicas {
		goes := r.State != chart.Draining && r.State != chart.Gone
		count += truth(r.Group == group && goes)
	}
	return count
}
