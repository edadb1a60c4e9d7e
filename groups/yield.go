package groups

import (
	"sort"

	"clementinehead.example/chead/site"
)

// yieldEach is how many endpoints there are for each fabric domain that may
// change hands at once: what yields serves nobody for some seconds.
const yieldEach = 60

// yield ends groups of a model that is better off, in the fabric domain where
// the poor model gets a group for the fewest, if that leaves the worse off of
// the two better off than before.
func (p *Planner) yield(poor balance, others []balance, free map[string][]Unit, w World) {
	busy := p.inTransit(w)
	if len(others) == 0 || !w.Begun || len(busy) >= max(1, len(w.Units)/yieldEach) {
		return
	}
	for _, c := range p.kept {
		if c.model == poor.model.Name {
			poor.have++ // it will be formed
		}
	}
	rich := others[len(others)-1]
	var best []*group
	fabric := ""
	for _, name := range p.fabricsOf(w) {
		if busy[name] {
			continue
		}
		groups := p.enough(name, poor.model, rich.model, free[name], w)
		if len(groups) == 0 || !worthwhile(poor, rich, len(groups)) {
			continue
		}
		if best == nil || len(groups) < len(best) {
			best, fabric = groups, name
		}
	}
	for _, g := range best {
		p.retire(g, w, "gives way to model "+poor.model.Name)
		p.kept[fabric] = claim{model: poor.model.Name, until: w.Now + reservation}
	}
}

// enough returns the fewest groups of rich whose endpoints, with the free ones of
// the fabric domain, can form a group of poor without a load, or none.
func (p *Planner) enough(fabric string, poor, rich site.Model, free []Unit, w World) []*group {
	have := p.ready(free, poor)
	groups := p.servingIn(fabric, rich.Name, w)
	sort.SliceStable(groups, func(i, j int) bool {
		return p.ready(groups[i].units(w), poor) > p.ready(groups[j].units(w), poor)
	})
	for i, g := range groups {
		have += p.ready(g.units(w), poor)
		if have >= poor.Size {
			return groups[:i+1]
		}
	}
	return nil
}

// ready counts the endpoints that can join a group of a model without a load.
func (p *Planner) ready(units []Unit, model site.Model) int {
	n := 0
	for _, u := range units {
		if p.readiness(u, model.Name) != empty {
			n++
		}
	}
	return n
}

func (g *group) units(w World) []Unit {
	units := make([]Unit, 0, len(g.members))
	for _, m := range g.members {
		units = append(units, w.Units[m.id])
	}
	return units
}

// worthwhile reports whether one group more for poor is worth need groups of
// rich.
func worthwhile(poor, rich balance, need int) bool {
	gained := poor
	gained.have++
	gave := rich
	gave.have -= need
	return gave.have > 0 && min(gained.ratio(), gave.ratio()) > poor.ratio()+leastGain
}

// inTransit returns the fabric domains whose endpoints are kept for a model, or
// will be free soon since a group is closing or ending.
func (p *Planner) inTransit(w World) map[string]bool {
	busy := map[string]bool{}
	for fabric := range p.kept {
		busy[fabric] = true
	}
	for _, g := range p.groups {
		if g.stage >= closing {
			busy[w.Units[g.head()].State.Fabric] = true
		}
	}
	return busy
}

func (p *Planner) fabricsOf(w World) []string {
	seen := map[string][]Unit{}
	for _, u := range w.Units {
		if u.Usable && !u.Silent {
			seen[u.State.Fabric] = nil
		}
	}
	return fabrics(seen)
}

func (p *Planner) servingIn(fabric, model string, w World) []*group {
	var found []*group
	for _, g := range p.sorted() {
		if g.stage == serving && g.model.Name == model && w.Units[g.head()].State.Fabric == fabric {
			found = append(found, g)
		}
	}
	return found
}
