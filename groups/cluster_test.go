package groups

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
)

// cluster simulates engines that execute orders on a simulated clock.
type cluster struct {
	now        time.Duration
	engine     site.Engine
	engines    map[string]*engine
	delayed    []delayedOrder
	loseOrder  func(id string) (lost bool, after time.Duration)
	violations []string        // invariants that did not hold
	everReady  map[string]bool // by group and endpoint: the endpoint was ready in the group at some time
	hadTraffic bool
	demand     map[string]int
	trace      []string
	conflicts  int // orders refused because their sequence was another than the engine's
}

type delayedOrder struct {
	at    time.Duration
	id    string
	order platform.Order
}

// engine is one simulated endpoint.
type engine struct {
	id        string
	fabric    string
	started   int64
	dead      bool
	silent    bool // unreachable for the keeper, but alive
	draining  bool
	sequence  int64
	fence     int64
	epoch     int64 // the highest seen since the start
	state     site.State
	members   []string
	readyAt   time.Duration // when the join completes; for a dead engine, when it died
	lastModel string
	staged    []string
	forged    *site.State // an entry written by another party, or nil
	history   []pastState
}

type pastState struct {
	at    time.Duration
	state site.State
}

const (
	testTick      = 100 * time.Millisecond
	testReportLag = 200 * time.Millisecond
	testEntryLag  = 300 * time.Millisecond
)

var testEngine = site.Engine{
	Slots: 17, LoadRate: 5, Loads: 7, Staged: 1, ReportLag: testReportLag, FormTime: 300 * time.Millisecond, Across: 3,
	Models: []site.Model{
		{Name: "large", Size: 4, Share: 0.5, Pace: 1, Load: 16 * time.Second, Warm: 1600 * time.Millisecond},
		{Name: "small", Size: 2, Share: 0.5, Pace: 0.6, Load: 12 * time.Second, Warm: 1100 * time.Millisecond},
	},
}

func newCluster(fabrics, each int) *cluster {
	c := &cluster{engine: testEngine, engines: map[string]*engine{}, demand: map[string]int{}, everReady: map[string]bool{}, now: time.Second}
	for f := range fabrics {
		for i := range each {
			c.add(fmt.Sprintf("f%d-%02d", f, i), fmt.Sprintf("f%d", f))
		}
	}
	return c
}

func (c *cluster) add(id, fabric string) {
	c.engines[id] = &engine{id: id, fabric: fabric, started: int64(c.now/time.Millisecond) + 1}
}

func (c *cluster) ids() []string {
	var ids []string
	for id := range c.engines {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// snapshot returns the state that a keeper has, with reports of the polled endpoints.
func (c *cluster) snapshot(polled []string) Snapshot {
	snap := Snapshot{Now: c.now, Engine: c.engine, Endpoints: map[string]EndpointState{}, HadTraffic: c.hadTraffic, Demand: c.demand}
	for _, id := range c.ids() {
		e := c.engines[id]
		if e.dead && c.now-e.readyAt > 4*time.Second {
			continue
		}
		entry := e.at(c.now - testEntryLag)
		entry.Sequence = 0
		if e.forged != nil {
			entry = *e.forged
		}
		state := EndpointState{Endpoint: site.Endpoint{ID: id, Service: "s", Draining: e.draining, State: entry}, Usable: !e.draining, StateAt: c.now - testEntryLag}
		if slices.Contains(polled, id) {
			if e.dead || e.silent {
				state.Silent = true
			} else {
				state.Report = e.at(c.now - testReportLag)
				state.ReportAt = c.now - testReportLag
				state.State = state.Report
				state.StateAt = state.ReportAt
			}
		}
		snap.Endpoints[id] = state
	}
	return snap
}

func (e *engine) at(when time.Duration) site.State {
	state := site.State{Started: e.started, Fabric: e.fabric}
	for _, m := range e.history {
		if m.at <= when && m.state.Started == e.started {
			state = m.state
		}
	}
	return state
}

// recordState appends the present state to the history.
func (e *engine) recordState(now time.Duration) {
	e.state.Started = e.started
	e.state.Fabric = e.fabric
	e.state.Sequence = e.sequence
	e.state.Staged = slices.Clone(e.staged)
	e.state.Models = nil
	if e.lastModel != "" {
		e.state.Models = []string{e.lastModel}
	}
	e.history = append(e.history, pastState{now, e.state})
}

func (c *cluster) kill(id string) {
	e := c.engines[id]
	e.dead = true
	e.readyAt = c.now
	e.state.Member = site.Member{}
	e.members = nil
}

// tick advances the clock by testTick and completes what is due.
func (c *cluster) tick() {
	c.now += testTick
	remaining := c.delayed[:0]
	for _, o := range c.delayed {
		if o.at <= c.now {
			_, _ = c.apply(o.id, o.order)
		} else {
			remaining = append(remaining, o)
		}
	}
	c.delayed = remaining
	for _, id := range c.ids() {
		e := c.engines[id]
		if e.dead {
			continue
		}
		if e.state.Member.Phase == site.Joining && c.now >= e.readyAt {
			e.state.Member.Phase = site.Ready
			c.everReady[e.state.Member.Group+" "+e.id] = true
			e.recordState(c.now)
		}
		c.checkLeader(e)
	}
}

// checkLeader records a violation if a leader serves though a member was never ready.
func (c *cluster) checkLeader(e *engine) {
	m := e.state.Member
	if m.Phase != site.Open || m.Rank != 0 {
		return
	}
	for _, id := range e.members {
		other := c.engines[id]
		if other == nil || other.dead || other.state.Member.In(m.Group, m.Epoch) && other.state.Member.Phase >= site.Ready {
			continue
		}
		if !c.everReady[m.Group+" "+id] {
			c.violations = append(c.violations, fmt.Sprintf("%v: %s serves %s though %s was never ready", c.now, e.id, m.Group, id))
		}
	}
}

// run runs a planner for a time.
func (c *cluster) run(p *Planner, d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.tick()
		c.step(p)
	}
}

func (c *cluster) step(p *Planner) {
	polled := p.ReportsNeeded(c.snapshot(nil))
	for _, id := range c.ids() {
		if e := c.engines[id]; e.dead || e.silent {
			polled = append(polled, id)
		}
	}
	for _, o := range p.Step(c.snapshot(polled)) {
		done, err := c.order(o.To.ID, o.Order)
		p.RecordOutcome(o.To.ID, o.Order, done, err)
	}
}

// servingGroups counts the groups that serve with all members, by model.
func (c *cluster) servingGroups() map[string]int {
	found := map[string]int{}
	for _, e := range c.engines {
		m := e.state.Member
		if e.dead || m.Phase != site.Open || m.Rank != 0 {
			continue
		}
		complete := true
		for _, id := range e.members {
			other := c.engines[id]
			complete = complete && other != nil && !other.dead && other.state.Member.In(m.Group, m.Epoch)
		}
		if complete {
			found[e.lastModel]++
		}
	}
	return found
}
