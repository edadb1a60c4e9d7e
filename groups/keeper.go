package groups

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
	"clementinehead.example/chead/watch"
)

const (
	tick               = 100 * time.Millisecond  // longest time between steps of the planner
	minStepPause       = 10 * time.Millisecond   // least time between steps
	stepShare          = 8                       // after a step the keeper pauses for at least this multiple of its duration
	reportTimeout      = 300 * time.Millisecond  // for a report, with both of its requests
	secondRequestAfter = 100 * time.Millisecond  // from the first request for a report to the second
	pollInterval       = 150 * time.Millisecond  // between reports of an endpoint in transition
	earlyPollInterval  = time.Second             // the same before there is traffic
	checkInterval      = 200 * time.Millisecond  // between reports of an endpoint that is checked, as it may be stalled
	slowInterval       = time.Second             // between reports of an endpoint that is or may be slow
	firstLooks         = 2 * time.Second         // after a daemon became keeper, within which one missing answer is no evidence
	silenceTime        = 1500 * time.Millisecond // for which an endpoint has to be silent that fell silent then
	silenceMisses      = 3                       // requests without an answer meanwhile, at least
	checkDuration      = 3 * time.Second         // for which an endpoint is checked after it was reported as stalled or did not answer
	takeoverWait       = 200 * time.Millisecond  // time for which the keeper must be seen gone before another daemon becomes keeper
	lateWait           = 3 * time.Second         // the same for a daemon that may hear late itself: as long as one that lives may be silent
	startWait          = 300 * time.Millisecond  // after the start, before this daemon may become keeper
	yieldTime          = 500 * time.Millisecond  // for which a daemon that could become keeper for the first time leaves it to listed ones that precede it
	lateLogInterval    = time.Second             // least time between two log lines about silences that don't count
	maxSnapshotAge     = 2500 * time.Millisecond // a daemon whose snapshot is older does not become keeper
)

// Options are the dependencies of a Keeper.
type Options struct {
	Self    site.Daemon
	Store   *platform.Store
	Engines *platform.Engines
	Watcher *watch.Watcher
	Alive   func() []gossip.Message                   // the latest message of each other daemon that is alive
	Leaving func(site.Endpoint) bool                  // whether an endpoint stated to any daemon that it leaves
	Demand  func() map[string]int                     // this daemon's demand, by service and model, as in gossip.Message
	Boot    func() time.Duration                      // reads the boot clock
	Late    func(since time.Duration) time.Duration   // longest time for which this process ran late since a reading of the boot clock
	Reached func(context.Context, time.Duration) bool // whether endpoints are reached, as one was since a reading of the boot clock or some that are asked answer
	Failed  func(endpoint string)                     // records that an endpoint was not reached
	CutOff  func() bool                               // whether this daemon is cut off from endpoints

	Progresses func(endpoint string) bool // whether requests are in progress at an endpoint, of any daemon, and go on
	Log        logr.Logger
	Metrics    *Metrics
}

// Keeper forms and repairs the groups while this daemon is the elected keeper. Use
// New.
type Keeper struct {
	options Options

	wake      chan struct{} // holds a value while an answer awaits the next step
	orderings chan struct{} // holds a value for each order in progress
	reporting chan struct{} // holds a value for each report that is requested

	mu              sync.Mutex
	term            int64                    // 0 while not the keeper
	termEra         int64                    // era of the store in which the term began
	termAt          time.Duration            // boot clock: when the term began
	planner         *Planner                 // nil while not the keeper
	lastModel       map[string]string        // model of each engine's last group, by endpoint
	lastStarted     map[string]int64         // site.State.Started of the engine when lastModel was recorded
	recorded        *watch.Snapshot          // by which the latest entries of lastModel were recorded
	reports         map[string]report        // by endpoint
	checks          map[string]time.Duration // boot clock: the end of the checks of each endpoint that may be stalled
	slowChecks      map[string]time.Duration // boot clock: the end of the checks of each endpoint that may be slow
	announced       map[string]gossip.Group  // groups announced to the other daemons, by leader
	loggedStages    map[string]stage         // stage of each group as last logged, by name
	hadTraffic      bool                     // there were requests at some daemon
	startedAt       time.Duration            // boot clock: when the Keeper was made
	nextLateLog     time.Duration            // boot clock: until then, silences that don't count are not logged
	candidateSince  time.Duration            // boot clock: when this daemon could first have become keeper, 0 before that
	keeperGoneSince time.Duration            // boot clock: when the elected keeper was first seen gone, 0 while it is there
}

// New returns a Keeper for a daemon that is not elected.
func New(o Options) *Keeper {
	return &Keeper{
		options: o, wake: make(chan struct{}, 1), orderings: make(chan struct{}, maxOrders), reporting: make(chan struct{}, maxReports), reports: map[string]report{}, checks: map[string]time.Duration{}, slowChecks: map[string]time.Duration{},
		announced: map[string]gossip.Group{}, loggedStages: map[string]stage{}, startedAt: o.Boot(),
		lastModel: map[string]string{}, lastStarted: map[string]int64{},
	}
}

// Announcement returns what this daemon announces to the others: the groups by leader, if
// it is the keeper, and the newest term of a keeper that it knows.
func (k *Keeper) Announcement() (groups map[string]gossip.Group, term int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	groups = map[string]gossip.Group{}
	if k.term != 0 {
		for id, g := range k.announced {
			groups[id] = g
		}
	}
	return groups, max(k.term, k.options.Watcher.Snapshot().Keeper.Number)
}

// HadTraffic reports whether there were requests at some daemon, as far as this one knows.
func (k *Keeper) HadTraffic() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.hadTraffic
}

// Run maintains the groups until the context ends, whenever this daemon is the
// keeper. The answer to an order or a report makes it take the next step without
// waiting for the tick, since a group that is repaired takes several steps.
func (k *Keeper) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		began := time.Now()
		k.step(ctx)
		ended := time.Now()
		timer.Reset(clock.UntilBeat(tick))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-k.wake:
		}
		pause := max(minStepPause, stepShare*ended.Sub(began))
		if !clock.Sleep(ctx, pause-time.Since(ended)) {
			return nil
		}
	}
}

// wakeUp makes Run take the next step soon.
func (k *Keeper) wakeUp() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *Keeper) step(ctx context.Context) {
	stored := k.options.Watcher.Snapshot()
	if stored.Config == nil {
		return
	}
	service, ok := stored.Config.EngineService()
	if !ok {
		return
	}
	k.recordLastModels(stored, service)
	k.noteTraffic()
	if !k.remainsKeeper(stored) {
		k.campaign(ctx, stored)
		return
	}
	k.noteStalled()
	orders, polled := k.decide(k.snapshot(stored, service))
	for _, o := range orders {
		go k.send(ctx, o)
	}
	k.poll(ctx, stored, polled)
}

// decide returns the orders of one step, and the endpoints whose reports are needed: none
// if the term has ended meanwhile, by the refusal of an order.
func (k *Keeper) decide(snap Snapshot) (orders []Order, polled []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.planner == nil {
		return nil, nil
	}
	orders = k.planner.Step(snap)
	polled = k.planner.ReportsNeeded(snap)
	k.noteSlow(k.planner.SlowEndpoints())
	k.announce()
	return orders, polled
}

// recordLastModels records the model of each engine's last group. The engine keeps
// its weights after leaving the group, but no report shows it then, so every daemon
// records it in case it becomes keeper.
func (k *Keeper) recordLastModels(stored *watch.Snapshot, service site.Service) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.recorded == stored {
		return
	}
	k.recorded = stored
	for id, started := range k.lastStarted {
		if e, listed := stored.Endpoints[id]; !listed || e.State.Started != started {
			delete(k.lastStarted, id)
			delete(k.lastModel, id)
		}
	}
	for id, e := range stored.Endpoints {
		if e.Service != service.Name || e.State.Member.Phase < site.Ready {
			continue
		}
		if model, known := loadedModel(*service.Engine, e.State); known {
			k.lastModel[id] = model.Name
			k.lastStarted[id] = e.State.Started
		}
	}
}

// snapshot returns the state on which the planner decides: for each engine the
// newer of its entry and its own report.
func (k *Keeper) snapshot(stored *watch.Snapshot, service site.Service) Snapshot {
	k.mu.Lock()
	defer k.mu.Unlock()
	snap := Snapshot{Now: k.options.Boot(), Engine: *service.Engine, Endpoints: make(map[string]EndpointState, len(stored.Endpoints)), HadTraffic: k.hadTraffic, Demand: k.totalDemand(service.Name)}
	for id, e := range stored.Endpoints {
		if e.Service != service.Name {
			continue
		}
		state := EndpointState{Endpoint: e, Usable: stored.Usable(e) && !k.options.Leaving(e), StateAt: e.Seen}
		if r, ok := k.reports[id]; ok {
			state.Silent = k.silent(r, snap.Now) && !k.progresses(id)
			if r.hasState && r.state.Started == e.State.Started {
				state.Report = r.state
				state.ReportAt = r.stateRequestedAt - service.Engine.ReportLag
			}
			if r.hasState && reportNewer(r, e, service.Engine.ReportLag) {
				state.State = r.state
				state.StateAt = r.stateRequestedAt - service.Engine.ReportLag
			}
		}
		snap.Endpoints[id] = state
	}
	for id := range k.reports {
		if _, listed := stored.Endpoints[id]; !listed {
			delete(k.reports, id)
			delete(k.checks, id)
		}
	}
	return snap
}

// progresses reports whether an endpoint is in a group that serves and whose requests go
// on. Then it lives, though it may be slow to report. The lock must be held.
func (k *Keeper) progresses(id string) bool {
	if k.planner == nil {
		return false
	}
	g := k.planner.groupOf(id)
	return g != nil && g.stage == serving && k.options.Progresses(g.leader())
}

// totalDemand returns the demand at all daemons, in slots, by model.
func (k *Keeper) totalDemand(service string) map[string]int {
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

// announce updates the groups announced to the other daemons, and logs groups that
// changed stage or are gone.
func (k *Keeper) announce() {
	groups := map[string]gossip.Group{}
	stages := map[string]stage{}
	for _, g := range k.planner.sortedGroups() {
		stages[g.name] = g.stage
		if previous, known := k.loggedStages[g.name]; !known || previous != g.stage {
			k.options.Log.Info("group "+g.stage.String(), "group", g.name, "model", g.model.Name,
				"members", strings.Join(g.ids(), ","), "cause", g.cause, "term", k.term)
		}
		groups[g.leader()] = gossip.Group{Name: g.name, Epoch: g.epoch, Model: g.model.Name, Open: g.stage == serving}
	}
	for name := range k.loggedStages {
		if _, exists := stages[name]; !exists {
			k.options.Log.Info("group gone", "group", name, "term", k.term)
		}
	}
	k.announced = groups
	k.loggedStages = stages
	k.options.Metrics.setGroups(k.planner.sortedGroups())
}
