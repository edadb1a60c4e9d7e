package groups

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/sight"
	"clementinehead.example/chead/site"
)

const (
	tick         = 100 * time.Millisecond
	callLimit    = 400 * time.Millisecond // for one order
	askLimit     = 250 * time.Millisecond // for one report
	pollEach     = 150 * time.Millisecond // reports of endpoints in transition
	pollEarly    = time.Second            // the same before there is traffic
	checkEach    = 200 * time.Millisecond // reports of endpoints that stand still
	missesToDead = 2                      // reports in a row that did not come
	checkFor     = 3 * time.Second        // after an endpoint was said to stand still
	vacantWait   = 200 * time.Millisecond // the office must be seen vacant for so long
	startWait    = 300 * time.Millisecond
	freshEnough  = 2500 * time.Millisecond // a daemon whose view is older takes no office
)

// Options are what a Keeper needs.
type Options struct {
	Self    site.Daemon
	Store   *platform.Store
	Engines *platform.Engines
	Sight   *sight.Sight
	Alive   func() []gossip.Message
	Demand  func() map[string]int // this daemon's own
	Boot    func() time.Duration
	Log     logr.Logger
	Metrics *Metrics
}

// Keeper orders the groups while this daemon is in office. Use New.
type Keeper struct {
	options Options

	mu      sync.Mutex
	term    int64 // 0 while not in office
	planner *Planner
	last    map[string]string // model of each engine's last group
	births  map[string]int64
	reports map[string]report
	checks  map[string]time.Duration // endpoints to ask until then
	groups  map[string]gossip.Group  // what the others are told
	stages  map[string]stage
	begun   bool
	began   time.Duration
	vacant  time.Duration // when the office was first seen vacant
}

// New returns a keeper that is not in office.
func New(o Options) *Keeper {
	return &Keeper{
		options: o, reports: map[string]report{}, checks: map[string]time.Duration{},
		groups: map[string]gossip.Group{}, stages: map[string]stage{}, began: o.Boot(),
		last: map[string]string{}, births: map[string]int64{},
	}
}

// Told returns what to tell the other daemons: the groups that serve, by head,
// and the term in office.
func (k *Keeper) Told() (groups map[string]gossip.Group, term int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	groups = map[string]gossip.Group{}
	if k.term != 0 {
		for id, g := range k.groups {
			groups[id] = g
		}
	}
	return groups, max(k.term, k.options.Sight.View().Keeper.Number)
}

// Run looks after the groups until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			k.turn(ctx)
		}
	}
}

func (k *Keeper) turn(ctx context.Context) {
	view := k.options.Sight.View()
	if view.Config == nil {
		return
	}
	service, ok := view.Config.EngineService()
	if !ok {
		return
	}
	k.observe(view, service)
	if !k.stays(view) {
		k.run(ctx, view)
		return
	}
	k.watchOver()
	world := k.world(view, service)
	k.mu.Lock()
	orders := k.planner.Step(world)
	wants := k.planner.Wants(world)
	k.tell()
	k.mu.Unlock()
	for _, o := range orders {
		go k.give(ctx, o)
	}
	k.poll(ctx, view, wants)
}

// observe notes the model of each engine's last group, which only lasts in the
// engine itself, for a time in office.
func (k *Keeper) observe(view *sight.View, service site.Service) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, born := range k.births {
		if e, listed := view.Endpoints[id]; !listed || e.State.Born != born {
			delete(k.births, id)
			delete(k.last, id)
		}
	}
	for id, e := range view.Endpoints {
		if e.Service != service.Name || e.State.Member.Phase < site.Ready {
			continue
		}
		if model, known := loaded(*service.Engine, e.State); known {
			k.last[id] = model.Name
			k.births[id] = e.State.Born
		}
	}
}

// world is what the planner decides on: for each engine the newer of its entry
// and its own report.
func (k *Keeper) world(view *sight.View, service site.Service) World {
	k.mu.Lock()
	defer k.mu.Unlock()
	w := World{Now: k.options.Boot(), Engine: *service.Engine, Units: map[string]Unit{}, Begun: k.begun, Demand: k.demand(service.Name)}
	for id, e := range view.Endpoints {
		if e.Service != service.Name {
			continue
		}
		u := Unit{Endpoint: e, Usable: view.Usable(e), At: e.Seen}
		if r, ok := k.reports[id]; ok {
			u.Silent = r.misses >= missesToDead
			if r.known && r.state.Born == e.State.Born {
				u.Report = r.state
				u.Counted = r.asked - service.Engine.ReportLag
			}
			if r.known && newer(r, e, service.Engine.ReportLag) {
				u.State = r.state
				u.At = r.asked - service.Engine.ReportLag
			}
		}
		w.Units[id] = u
	}
	for id := range k.reports {
		if _, listed := view.Endpoints[id]; !listed {
			delete(k.reports, id)
			delete(k.checks, id)
		}
	}
	return w
}

// demand returns the requests of all daemons in progress or waiting, by model.
func (k *Keeper) demand(service string) map[string]int {
	all := map[string]int{}
	add := func(demand map[string]int) {
		for key, n := range demand {
			if model, ok := strings.CutPrefix(key, service+"/"); ok {
				all[model] += n
			}
		}
	}
	add(k.options.Demand())
	for _, m := range k.options.Alive() {
		add(m.Demand)
	}
	return all
}

// tell notes what the other daemons should know, and logs what changed.
func (k *Keeper) tell() {
	groups := map[string]gossip.Group{}
	stages := map[string]stage{}
	for _, g := range k.planner.sorted() {
		stages[g.name] = g.stage
		if was, known := k.stages[g.name]; !known || was != g.stage {
			k.options.Log.Info("group "+g.stage.String(), "group", g.name, "model", g.model.Name,
				"members", strings.Join(g.ids(), ","), "cause", g.cause, "term", k.term)
		}
		groups[g.head()] = gossip.Group{Name: g.name, Epoch: g.epoch, Model: g.model.Name, Open: g.stage == serving}
	}
	for name := range k.stages {
		if _, still := stages[name]; !still {
			k.options.Log.Info("group gone", "group", name, "term", k.term)
		}
	}
	k.groups = groups
	k.stages = stages
	k.options.Metrics.count(k.planner.sorted())
}

// give carries an order out and takes its outcome.
func (k *Keeper) give(ctx context.Context, o Order) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	done, err := k.options.Engines.Give(ctx, o.To, o.Order)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.planner == nil {
		return
	}
	k.options.Log.Info("order", "endpoint", o.To.ID, "order", o.Order.Verb.String(), "group", o.Order.Group, "model", o.Order.Model,
		"sequence", o.Order.Sequence, "term", o.Order.Token, "error", message(err))
	k.options.Metrics.ordered(o.Order.Verb, err)
	k.planner.Answered(o.To.ID, o.Order, done, err)
	r := k.reports[o.To.ID]
	r.sent = 0 // its report is of interest now
	k.reports[o.To.ID] = r
	if platform.Is(err, platform.Fenced) {
		k.resign("fenced by "+o.To.ID, 0)
	}
}

func message(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
