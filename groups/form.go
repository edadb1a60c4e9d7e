package groups

import (
	"sort"
	"strconv"
	"time"

	"clementinehead.example/chead/site"
)

// readiness is how soon an endpoint can join a group of a model.
type readiness int

const (
	again  readiness = iota // its last group had the model
	staged                  // the model is on its host
	empty                   // it has to load
)

func (p *Planner) readiness(u Unit, model string) readiness {
	if p.last[u.ID] == model || u.State.Has(model) {
		return again
	}
	if u.State.Keeps(model) {
		return staged
	}
	return empty
}

// form makes groups of free endpoints, for the model that is worst off first.
// Where none can be made for it, a model that is better off gives up groups,
// whose endpoints are kept for it.
func (p *Planner) form(w World) {
	for fabric, c := range p.kept {
		if w.Now > c.until {
			delete(p.kept, fabric)
		}
	}
	if p.growing(w) {
		return
	}
	for p.formOne(w) {
	}
}

const (
	arrivalPause = 500 * time.Millisecond // without a new endpoint, they are all listed
	arrivalMost  = 3 * time.Second        // they are waited for
)

// growing reports whether endpoints are still being listed at the start. Groups
// of the smallest model would take each pair as it comes, and leave nothing whole
// to the others.
func (p *Planner) growing(w World) bool {
	if w.Begun || len(w.Units) == 0 {
		return false
	}
	if p.listed == 0 {
		p.first = w.Now
	}
	if len(w.Units) != p.listed {
		p.listed = len(w.Units)
		p.grew = w.Now
	}
	return w.Now-p.grew < arrivalPause && w.Now-p.first < arrivalMost
}

func (p *Planner) formOne(w World) bool {
	free := p.free(w)
	all := p.balances(w)
	for i, b := range all {
		if units := p.choose(free, b.model, w); units != nil {
			delete(p.kept, units[0].State.Fabric)
			p.found(b.model, units, w)
			return true
		}
		if i == 0 {
			p.yield(b, all[1:], free, w)
		}
	}
	return false
}

// free returns the endpoints in no group, by fabric domain.
func (p *Planner) free(w World) map[string][]Unit {
	taken := map[string]bool{}
	for _, g := range p.groups {
		for _, m := range g.members {
			taken[m.id] = true
		}
	}
	free := map[string][]Unit{}
	for id, u := range w.Units {
		b := p.books[id]
		if taken[id] || !u.Usable || u.Silent || !b.known || !b.outside || b.at > 0 && b.outcome == pending {
			continue
		}
		free[u.State.Fabric] = append(free[u.State.Fabric], u)
	}
	return free
}

// choose returns the members of a new group: all of one fabric domain, as soon
// ready as possible. Once there is traffic nobody waits for a load in a group.
func (p *Planner) choose(free map[string][]Unit, model site.Model, w World) []Unit {
	var best []Unit
	bestReady := empty + 1
	for _, fabric := range fabrics(free) {
		units := free[fabric]
		if c, kept := p.kept[fabric]; len(units) < model.Size || kept && c.model != model.Name {
			continue
		}
		sort.Slice(units, func(i, j int) bool {
			a, b := p.readiness(units[i], model.Name), p.readiness(units[j], model.Name)
			if a != b {
				return a < b
			}
			return units[i].ID < units[j].ID
		})
		slowest := p.readiness(units[model.Size-1], model.Name)
		if w.Begun && slowest == empty {
			continue
		}
		if slowest < bestReady {
			best, bestReady = units[:model.Size], slowest
		}
	}
	return best
}

func fabrics(free map[string][]Unit) []string {
	var names []string
	for name := range free {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// found makes a group.
func (p *Planner) found(model site.Model, units []Unit, w World) {
	p.counter++
	epoch := p.term*epochsEach + p.counter
	g := &group{name: "g" + strconv.FormatInt(epoch, 10), epoch: epoch, model: model, since: w.Now, cause: "formed"}
	for _, u := range units {
		g.members = append(g.members, member{u.ID, u.State.Born})
	}
	p.groups[g.name] = g
}
