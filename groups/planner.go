package groups

import (
	"maps"
	"sort"
	"time"

	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
)

// Unit is an engine endpoint as the planner sees it.
type Unit struct {
	site.Endpoint
	Usable  bool          // neither draining nor out of service
	Silent  bool          // it does not answer
	At      time.Duration // boot clock: its state is of this time
	Report  site.State    // what it said itself when asked
	Counted time.Duration // boot clock: the report is of this time, 0 for none
}

// World is what a step is decided on.
type World struct {
	Now    time.Duration // boot clock
	Engine site.Engine
	Units  map[string]Unit
	Begun  bool           // there was traffic
	Demand map[string]int // requests in progress or waiting, by model
}

// Order is an order for one endpoint.
type Order struct {
	To    site.Endpoint
	Order platform.Order
}

// Planner holds the groups that a keeper forms, and decides the next orders.
// Use NewPlanner.
type Planner struct {
	term    int64
	counter int64
	groups  map[string]*group
	books   map[string]*book   // by endpoint
	last    map[string]string  // model of the last group, by endpoint
	loads   map[string]load    // that are on their way, by endpoint
	began   []time.Duration    // when the loads of the last second began
	kept    map[string]claim   // fabric domains whose endpoints are kept for a model
	demand  map[string]float64 // smoothed, by model
	doubts  map[string]bool    // endpoints whose entries say that they left
	listed  int                // endpoints at the last step before there was traffic
	first   time.Duration      // when the first of these was listed
	grew    time.Duration      // when their number last changed
}

// claim keeps the free endpoints of a fabric domain for a model.
type claim struct {
	model string
	until time.Duration
}

// load is a model on its way onto a host.
type load struct {
	model site.Model
	born  int64
	at    time.Duration
}

const (
	epochsEach  = 1 << 24                 // epochs of one term
	answerWait  = 300 * time.Millisecond  // an order that was refused or lost is given again after it
	settleWait  = 900 * time.Millisecond  // a report must show an accepted order by then
	closeWait   = 1500 * time.Millisecond // for requests of a group that closes
	joinSlack   = 6 * time.Second         // beyond the time that joining should take
	shownAfter  = 600 * time.Millisecond  // until entries and reports show what an order changed
	loadWindow  = time.Second
	leastGain   = 0.04            // of its target that the worst off model must gain by a yield
	reservation = 4 * time.Second // for which endpoints of a yield are kept for their model
)

// NewPlanner returns a planner for a term in office. Last is the model of each
// endpoint's last group, as far as it was seen. The planner adopts the groups
// that it finds at its first step.
func NewPlanner(term int64, last map[string]string) *Planner {
	if last == nil {
		last = map[string]string{}
	}
	return &Planner{
		term:   term,
		groups: map[string]*group{},
		books:  map[string]*book{},
		last:   maps.Clone(last),
		loads:  map[string]load{},
		kept:   map[string]claim{},
		demand: map[string]float64{},
		doubts: map[string]bool{},
	}
}

// Step returns the orders to give now.
func (p *Planner) Step(w World) []Order {
	p.count(w)
	p.measure(w)
	p.adopt(w)
	var orders []Order
	for _, g := range p.sorted() {
		orders = append(orders, p.advance(g, w)...)
	}
	p.form(w)
	for _, g := range p.sorted() {
		if g.stage == forming && g.since == w.Now {
			orders = append(orders, p.advance(g, w)...)
		}
	}
	orders = append(orders, p.stageModels(w)...)
	return orders
}

// Wants returns the endpoints whose reports the next step waits for.
func (p *Planner) Wants(w World) []string {
	var ids []string
	for id, b := range p.books {
		u := w.Units[id]
		alone := u.State.Member.Phase == site.Outside && p.memberOf(id) == nil
		if !b.known || p.doubts[id] || alone && !b.outside {
			ids = append(ids, id)
		}
	}
	for _, g := range p.groups {
		if g.stage == serving {
			continue
		}
		for _, m := range g.members {
			if _, ok := w.Units[m.id]; ok {
				ids = append(ids, m.id)
			}
		}
	}
	return ids
}

// MembersOf returns the endpoints in the group of an endpoint.
func (p *Planner) MembersOf(id string) []string {
	if g := p.memberOf(id); g != nil {
		return g.ids()
	}
	return nil
}

// memberOf returns the group of an endpoint, or nil.
func (p *Planner) memberOf(id string) *group {
	for _, g := range p.groups {
		for _, m := range g.members {
			if m.id == id {
				return g
			}
		}
	}
	return nil
}

func (p *Planner) sorted() []*group {
	all := make([]*group, 0, len(p.groups))
	for _, g := range p.groups {
		all = append(all, g)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].epoch < all[j].epoch })
	return all
}

func (g *group) ids() []string {
	ids := make([]string, len(g.members))
	for i, m := range g.members {
		ids[i] = m.id
	}
	return ids
}

func (g *group) head() string { return g.members[0].id }
