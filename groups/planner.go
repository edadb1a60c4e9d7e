package groups

import (
	"maps"
	"sort"
	"time"

	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
)

// EndpointState is the state of an engine endpoint as the planner knows it: the
// newer of its entry in the store and its own report.
type EndpointState struct {
	site.Endpoint
	Usable   bool          // neither draining nor out of service
	Silent   bool          // it does not answer requests for its report
	StateAt  time.Duration // boot clock: the time of State
	Report   site.State    // its own latest report
	ReportAt time.Duration // boot clock: the time of Report, 0 for none
}

// Snapshot is the state on which a step is decided.
type Snapshot struct {
	Now        time.Duration // boot clock
	Engine     site.Engine
	Endpoints  map[string]EndpointState
	HadTraffic bool           // there were requests at some daemon
	Demand     map[string]int // slots that the requests of all daemons need, by model
}

// Order is an order to one endpoint.
type Order struct {
	To    site.Endpoint
	Order platform.Order
}

// Planner holds the groups of one keeper and decides its next orders. It uses
// neither clock nor network. Use NewPlanner.
type Planner struct {
	term           int64                   // of the keeper: the fencing token of its orders
	beganAt        time.Duration           // boot clock: the first step of the term, 0 before it
	formed         int64                   // groups formed in the term
	groups         map[string]*group       // by name
	records        map[string]*orderRecord // by endpoint
	lastModel      map[string]string       // model of the endpoint's last group, by endpoint
	loads          map[string]load         // loads in progress, by endpoint
	loadStarts     []time.Duration         // start times of the loads within loadWindow
	reservations   map[string]reservation  // by fabric domain
	demand         map[string]float64      // smoothed Snapshot.Demand, by model
	demandAt       time.Duration           // boot clock: when demand was last updated, 0 before the first time
	slow           map[string]slowness     // slow endpoints
	suspected      map[string]bool         // endpoints that left their group by their entries, but not yet by their reports
	listing        bool                    // endpoints are still being listed at the start
	listedCount    int                     // endpoints at the latest step, while there is no traffic yet
	firstListedAt  time.Duration           // boot clock: when the first of these endpoints was listed
	countChangedAt time.Duration           // boot clock: when listedCount last changed
}

// reservation reserves the free endpoints of a fabric domain for a model.
type reservation struct {
	model string
	until time.Duration // boot clock
}

// load is the load of a model onto a host, in progress.
type load struct {
	model         site.Model    // without a name if it is not known
	engineStarted int64         // site.State.Started of the engine when the load was ordered
	startedAt     time.Duration // boot clock: when the load was ordered, or first seen
}

const (
	epochsPerTerm   = 1 << 24                // epochs reserved for each term, so that those of a later term are higher
	retryWait       = 300 * time.Millisecond // until an order that was refused or lost is issued again
	settleWait      = 900 * time.Millisecond // until an accepted order is issued again if no report shows its effect
	closeWait       = 10 * time.Second       // for the requests of a closing group to finish, as long as members that drain stay with it
	joinSlack       = 6 * time.Second        // a group that is still forming this much later than its model takes to load is ended
	stateLag        = 600 * time.Millisecond // time after an order within which entries and reports may not show its effect yet
	loadWindow      = time.Second            // time over which the starts of loads are counted for their rate
	minGain         = 0.04                   // least gain by a reassignment, in the lower of the two models' ratios of groups to target
	reservationTime = 4 * time.Second        // for which endpoints in reassignment are reserved for their model
)

// NewPlanner returns a Planner for one term of the keeper. The map lastModel holds
// the model of each endpoint's last group, as far as it is known, and may be nil.
// The planner adopts existing groups at its first step.
func NewPlanner(term int64, lastModel map[string]string) *Planner {
	if lastModel == nil {
		lastModel = map[string]string{}
	}
	return &Planner{
		term:         term,
		groups:       map[string]*group{},
		records:      map[string]*orderRecord{},
		lastModel:    maps.Clone(lastModel),
		loads:        map[string]load{},
		reservations: map[string]reservation{},
		demand:       map[string]float64{},
		slow:         map[string]slowness{},
		suspected:    map[string]bool{},
	}
}

// Step updates the groups from a snapshot and returns the orders to send now.
func (p *Planner) Step(snap Snapshot) []Order {
	if p.beganAt == 0 {
		p.beganAt = snap.Now
	}
	p.updateRecords(snap)
	p.updateSlow(snap)
	p.smoothDemand(snap)
	p.adopt(snap)
	var orders []Order
	for _, g := range p.sortedGroups() {
		orders = append(orders, p.advance(g, snap)...)
	}
	p.replaceSlowMembers(snap)
	p.formGroups(snap)
	for _, g := range p.sortedGroups() {
		if g.stage == forming && g.since == snap.Now {
			orders = append(orders, p.advance(g, snap)...)
		}
	}
	orders = append(orders, p.stageModels(snap)...)
	return orders
}

// ReportsNeeded returns the endpoints whose reports are needed: those whose count of
// accepted orders or whose membership is not known for certain, and the members of
// groups that are not serving. An endpoint may be repeated.
func (p *Planner) ReportsNeeded(snap Snapshot) []string {
	var ids []string
	for id, r := range p.records {
		e := snap.Endpoints[id]
		ungrouped := e.State.Member.Phase == site.Outside && p.groupOf(id) == nil
		if !r.sequenceKnown || p.suspected[id] || ungrouped && !r.outside {
			ids = append(ids, id)
		}
	}
	for _, g := range p.groups {
		if g.stage == serving {
			continue
		}
		for _, m := range g.members {
			if _, ok := snap.Endpoints[m.id]; ok {
				ids = append(ids, m.id)
			}
		}
	}
	return ids
}

// MembersOf returns the members of the group that an endpoint is in, or nil.
func (p *Planner) MembersOf(id string) []string {
	if g := p.groupOf(id); g != nil {
		return g.ids()
	}
	return nil
}

// groupOf returns the group of an endpoint, or nil.
func (p *Planner) groupOf(id string) *group {
	for _, g := range p.groups {
		for _, m := range g.members {
			if m.id == id {
				return g
			}
		}
	}
	return nil
}

// sortedGroups returns the groups by epoch.
func (p *Planner) sortedGroups() []*group {
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

func (g *group) leader() string { return g.members[0].id }
