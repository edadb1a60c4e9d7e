package gate

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/edit"
	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/store"
	"clementinehead.example/chead/view"
	"clementinehead.example/chead/wire"
)

// cluster simulates one replica of two endpoints and the daemons that use it.
// It holds the true state of all of them, and records the first violation of an
// invariant.
type cluster struct {
	mu               sync.Mutex
	script           script
	random           *rand.Rand // for the script's actions; each daemon has generators seeded with the script's seed, its id and its boot
	startedAt        time.Time
	ramp             conf.Ramp
	endpoints        [2]endpoint
	replica          fleet.Replica
	out              time.Time // when operators took the domain out of service, zero while in service
	store            bool      // the store is up
	confirmedAt      time.Time // when the store last confirmed the newest view
	orderedAt        time.Time // when the members last received an order
	daemons          []*daemon
	changed          chan struct{}
	serial           int       // serial number of the newest view
	viewsUnblockedAt time.Time // when views were last blocked; an hour in the future while they are, so that drains are not checked
	violation        string    // the first one
	served           int       // requests completed
	lastDispatch     time.Time
	longestGap       time.Duration // longest time between dispatches since the script's actions began
	group            sync.WaitGroup
	ctx              context.Context
}

// endpoint is a member of the replica. Only the first one takes requests.
type endpoint struct {
	address     string
	boot        uint64
	fence       uint64
	state       engine.State
	missing     bool            // unreachable
	running     map[string]bool // by request id
	completed   uint64
	history     []snapshot
	fenceLostAt map[uint64]time.Time // by fencing token: since when the endpoint has not had it, or has been unreachable with it
}

// snapshot is the load at one time. A report shows the load of script.Lag ago.
type snapshot struct {
	at        time.Time
	running   int
	completed uint64
}

// daemon is a daemon with a gate and an entry.
type daemon struct {
	id           string
	boot         uint64
	gate         *Gate
	view         *view.View
	serial       int       // of the view
	viewsBlocked bool      // receives no newer view
	confirmedAt  time.Time // when the store last confirmed this daemon's view
	cancel       context.CancelFunc
	crashed      time.Time            // when it crashed, zero while running
	resume       chan struct{}        // closed at the end of a pause, nil while not paused
	reachedAt    map[string]time.Time // by daemon, when it was last reached
	cut          map[string]bool      // daemons to which the connection is cut
}

const (
	clusterDomain   = "coast-a"
	maxPublishDelay = 500 * time.Millisecond // longest time until a daemon receives a new view
	slowAnswerOneIn = 50                     // on average, one of this many answers is delayed
	maxAnswerDelay  = 4 * time.Second        // longest delay of an answer
	drainTimeout    = 3 * time.Second        // longest time from taking a domain out of service to the last dispatch
)

var errDown = errors.New("down")

func newCluster(ctx context.Context, s script) *cluster {
	c := &cluster{
		script:      s,
		startedAt:   time.Now(),
		random:      rand.New(rand.NewPCG(s.Seed, 0)),
		ramp:        conf.Ramp{Start: 1, Step: 4, Full: 8},
		store:       true,
		confirmedAt: time.Now(),
		changed:     make(chan struct{}),
		ctx:         ctx,
	}
	c.replica = fleet.Replica{ID: "r1", Group: "g", State: chart.Serving, Fence: 1, Gate: "d0", GateFence: 1}
	for i := range c.endpoints {
		c.endpoints[i] = endpoint{
			address:     fmt.Sprintf("host%d", i),
			running:     map[string]bool{},
			fenceLostAt: map[uint64]time.Time{},
		}
		c.endpoints[i].start(uint64(i + 1))
		c.endpoints[i].setFence(1)
		c.endpoints[i].state = engine.Ready
		c.replica.Members = append(c.replica.Members, fleet.Member{
			Instance: c.endpoints[i].address, Address: c.endpoints[i].address, Boot: c.endpoints[i].boot,
		})
	}
	for i := range clusterDaemons {
		c.daemons = append(c.daemons, &daemon{id: fmt.Sprintf("d%d", i), cut: map[string]bool{}})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.daemons {
		c.launch(d)
	}
	return c
}

// start starts the endpoint with the given boot number, for the first time or
// again.
func (e *endpoint) start(boot uint64) {
	e.boot, e.fence, e.state = boot, 0, engine.Idle
	e.running = map[string]bool{}
	e.completed = 0
	e.history = nil
	e.recordHistory()
}

// setFence sets the fencing token and records when the endpoint gave up the
// earlier one.
func (e *endpoint) setFence(fence uint64) {
	e.fenceLostAt[e.fence] = time.Now()
	e.fence = fence
	delete(e.fenceLostAt, fence)
}

// recordHistory records the present load for later reports.
func (e *endpoint) recordHistory() {
	e.history = append(e.history, snapshot{at: time.Now(), running: len(e.running), completed: e.completed})
}

// report returns the report that a probe receives.
func (e *endpoint) report(lag time.Duration) engine.Report {
	visible := e.history[0]
	for _, s := range e.history {
		if time.Since(s.at) >= lag {
			visible = s
		}
	}
	return engine.Report{
		Boot: e.boot, Fence: e.fence, State: e.state, Running: visible.running, Completed: visible.completed,
	}
}

// currentView returns the view as recorded in the store.
func (c *cluster) currentView() *view.View {
	envelope := edit.Envelope{Document: conf.Document{
		Groups:   map[string]conf.Group{"g": {Model: "m", Accounts: []string{"a", "b"}}},
		Accounts: map[string]conf.Account{"a": {}, "b": {}},
		Domains:  map[string]conf.Domain{clusterDomain: {Out: !c.out.IsZero()}},
		Capacity: conf.Capacity{Ramp: c.ramp},
		Limits:   conf.Limits{Request: conf.Duration(10 * time.Second)},
	}}
	fabric := fleet.Fabric{Name: "f", Domain: clusterDomain, Replicas: []fleet.Replica{c.replica}}
	entries := map[string]store.Entry{}
	for key, value := range map[string]any{fleet.ConfKey: envelope, fleet.Key("f"): fabric} {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		entries[key] = store.Entry{Key: key, Value: data, Revision: 1}
	}
	v, err := view.New(entries)
	if err != nil {
		panic(err)
	}
	return v
}

// publishView sends the view to all daemons, with a random delay for each.
func (c *cluster) publishView() {
	c.serial++
	v, serial := c.currentView(), c.serial
	for _, d := range c.daemons {
		delay := time.Duration(c.random.Int64N(int64(maxPublishDelay)))
		c.after(delay, func() {
			if c.waitResumed(d) {
				_ = clock.Sleep(c.ctx, delay) // a daemon that resumes receives the view late
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			if d.viewsBlocked {
				return // receives the view when it is no longer blocked
			}
			if serial < d.serial {
				return
			}
			d.view, d.serial = v, serial
			close(c.changed)
			c.changed = make(chan struct{})
		})
	}
}

// after calls do after a delay, unless the simulation ends before.
func (c *cluster) after(delay time.Duration, do func()) {
	c.group.Go(func() {
		if clock.Sleep(c.ctx, delay) {
			do()
		}
	})
}

// launch starts a daemon.
func (c *cluster) launch(d *daemon) {
	if c.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	d.boot++
	d.cancel = cancel
	d.crashed = time.Time{}
	d.view, d.serial = c.currentView(), c.serial
	d.reachedAt = map[string]time.Time{}
	for _, other := range c.daemons {
		d.reachedAt[other.id] = time.Now()
	}
	gate := New(Options{
		Self: d.id, Boot: d.boot, Log: logr.Discard(), Rand: rand.New(rand.NewPCG(c.script.Seed+d.boot, xxhash.Sum64String(d.id))),
		View:       func() *view.View { c.waitResumed(d); c.mu.Lock(); defer c.mu.Unlock(); return d.view },
		Changed:    func() <-chan struct{} { c.mu.Lock(); defer c.mu.Unlock(); return c.changed },
		Daemons:    func() []*wire.Daemon { return c.roster(d) },
		VerifiedAt: func() time.Time { return c.confirmed(d) },
		Probe:      func(_ context.Context, address string) (engine.Report, error) { return c.probe(d, address) },
		Feed:       func(context.Context, string, uint64) (engine.Feed, error) { return engine.Feed{}, errDown },
		Client:     func(address string) wire.GateClient { return &peer{cluster: c, from: d, to: address} },
	})
	d.gate = gate
	c.group.Go(func() { _ = gate.Run(ctx) })
	c.group.Go(func() { c.sendRequests(ctx, d) })
}

// confirmed returns when the store last confirmed a daemon's view.
func (c *cluster) confirmed(d *daemon) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d.serial == c.serial {
		d.confirmedAt = c.confirmedAt
	}
	return d.confirmedAt
}

// waitResumed waits while a daemon is paused, and reports whether it was.
func (c *cluster) waitResumed(d *daemon) bool {
	for waited := false; ; waited = true {
		c.mu.Lock()
		resume := d.resume
		c.mu.Unlock()
		if resume == nil {
			return waited
		}
		select {
		case <-resume:
		case <-c.ctx.Done():
			return waited
		}
	}
}

// probe returns the report of an endpoint to a daemon.
func (c *cluster) probe(d *daemon, address string) (engine.Report, error) {
	_ = clock.Sleep(c.ctx, time.Millisecond)
	c.mu.Lock()
	report, err := engine.Report{}, errDown
	for i := range c.endpoints {
		if e := &c.endpoints[i]; e.address == address && !e.missing {
			report, err = e.report(c.script.Lag), nil
		}
	}
	c.mu.Unlock()
	c.waitResumed(d)
	return report, err
}

// roster returns the daemons as one of them sees them.
func (c *cluster) roster(d *daemon) []*wire.Daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*wire.Daemon
	for _, other := range c.daemons {
		if other == d || c.reaches(d, other) {
			d.reachedAt[other.id] = time.Now()
		}
		all = append(all, &wire.Daemon{
			Id: other.id, Boot: other.boot, PeerAddress: other.id, Domain: clusterDomain,
			Standing: standingAfter(time.Since(d.reachedAt[other.id])),
		})
	}
	return all
}

// standingAfter returns the standing of a daemon that has not been reached for
// a time.
func standingAfter(silence time.Duration) wire.Standing {
	switch {
	case silence < 1500*time.Millisecond:
		return wire.Standing_STANDING_ALIVE
	case silence < 4*time.Second:
		return wire.Standing_STANDING_SUSPECT
	default:
		return wire.Standing_STANDING_DEAD
	}
}

// reaches reports whether b answers a: b is running and not paused, and the
// connection is not cut on either side. It does not check whether a is running.
func (c *cluster) reaches(a, b *daemon) bool {
	return b.crashed.IsZero() && b.resume == nil && !a.cut[b.id] && !b.cut[a.id]
}

// peer is a client of another daemon's gate.
type peer struct {
	cluster *cluster
	from    *daemon
	to      string
}

// dial returns the other daemon's gate after the time of one message.
func (p *peer) dial(ctx context.Context) (*Gate, error) {
	_ = clock.Sleep(ctx, time.Millisecond)
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	for _, d := range p.cluster.daemons {
		if d.id == p.to && d.crashed.IsZero() && !p.from.cut[d.id] && !d.cut[p.from.id] {
			return d.gate, nil
		}
	}
	return nil, errDown
}

// waitResumed waits while the other daemon is paused.
func (p *peer) waitResumed() {
	for _, d := range p.cluster.daemons {
		if d.id == p.to {
			p.cluster.waitResumed(d)
		}
	}
}

func (p *peer) Acquire(ctx context.Context, r *wire.AcquireRequest) (*wire.AcquireResponse, error) {
	gate, err := p.dial(ctx)
	if err != nil {
		return nil, err
	}
	p.waitResumed()
	response, err := gate.Acquire(ctx, r)
	p.waitResumed()
	return response, err
}

func (p *peer) Release(ctx context.Context, r *wire.ReleaseRequest) (*wire.ReleaseResponse, error) {
	gate, err := p.dial(ctx)
	if err != nil {
		return nil, err
	}
	p.waitResumed()
	return gate.Release(ctx, r)
}

func (p *peer) Handover(ctx context.Context, r *wire.HandoverRequest) (*wire.HandoverResponse, error) {
	gate, err := p.dial(ctx)
	if err != nil {
		return nil, err
	}
	p.waitResumed()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return gate.Handover(ctx, r)
}

func (p *peer) Strike(ctx context.Context, r *wire.StrikeRequest) (*wire.StrikeResponse, error) {
	gate, err := p.dial(ctx)
	if err != nil {
		return nil, err
	}
	return gate.Strike(ctx, r)
}

// sendRequests sends requests through a daemon's entry until the context ends.
func (c *cluster) sendRequests(ctx context.Context, d *daemon) {
	c.mu.Lock()
	boot, loss, longest := d.boot, c.script.Loss, c.script.Service
	c.mu.Unlock()
	random := rand.New(rand.NewPCG(c.script.Seed, xxhash.Sum64String(d.id)+boot))
	for n := 0; ; n++ {
		pause := time.Duration(random.Int64N(int64(120 * time.Millisecond)))
		service := time.Duration(random.Int64N(int64(longest)))
		silent := random.Float64() < c.script.Silent
		lost := random.Float64() < loss
		delay := time.Duration(0)
		if random.IntN(slowAnswerOneIn) == 0 {
			delay = time.Duration(random.Int64N(int64(maxAnswerDelay)))
		}
		if !clock.Sleep(ctx, pause) {
			return
		}
		c.waitResumed(d)
		if c.callersPaused() {
			continue
		}
		id := fmt.Sprintf("%s/%d/%d", d.id, boot, n)
		c.group.Go(func() { c.runRequest(ctx, d, boot, id, requestPlan{service, lost, silent, delay}) })
	}
}

// callersPaused reports whether callers send no requests at present: of each
// period of twice script.Burst, they are active in the first half only.
func (c *cluster) callersPaused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.script.Burst > 0 && time.Since(c.startedAt)/c.script.Burst%2 == 1
}

// requestPlan is the course of a request, drawn before it is sent.
type requestPlan struct {
	service time.Duration // time that the endpoint needs for it
	lost    bool          // its release is lost
	silent  bool          // its connection goes silent while it runs
	delay   time.Duration // between the gate's answer and its arrival at the entry
}

// runRequest runs one request at its entry.
func (c *cluster) runRequest(ctx context.Context, d *daemon, boot uint64, id string, planned requestPlan) {
	requestedAt := time.Now()
	client, response := c.acquire(ctx, d, boot, id)
	_ = clock.Sleep(ctx, planned.delay)
	c.waitResumed(d)
	if response == nil || ctx.Err() != nil {
		return
	}
	release := &wire.ReleaseRequest{Replica: "r1", Daemon: d.id, Permit: response.Permit, Request: id}
	release.Ending = wire.Ending_ENDING_UNUSED
	if time.Since(requestedAt) < response.Validity.AsDuration() {
		release.Ending = c.dispatch(response, id, planned)
	}
	if planned.lost || ctx.Err() != nil {
		return
	}
	c.waitResumed(d)
	if _, err := client.Release(ctx, release); err != nil {
		c.release(ctx, d, release)
	}
}

// acquire requests a permit from the gate and, until one is granted, from the
// gate's substitutes. It returns nil if none is granted.
func (c *cluster) acquire(ctx context.Context, d *daemon, boot uint64, id string) (*peer, *wire.AcquireResponse) {
	c.mu.Lock()
	v := d.view
	c.mu.Unlock()
	location, _ := v.Locate("r1")
	gates := append([]string{location.Replica.Gate}, Substitutes(v, c.roster(d), "r1")...)
	for _, gate := range gates {
		client := &peer{cluster: c, from: d, to: gate}
		response, err := client.Acquire(ctx, &wire.AcquireRequest{
			Replica: "r1", Daemon: d.id, Boot: boot, Request: id, Account: "a", Tokens: 10,
		})
		if err == nil && response.Verdict == wire.Verdict_VERDICT_GRANTED {
			return client, response
		}
	}
	return nil, nil
}

// release releases a permit at the replica's present gate. runRequest calls it
// if the gate that granted the permit doesn't answer.
func (c *cluster) release(ctx context.Context, d *daemon, release *wire.ReleaseRequest) {
	c.waitResumed(d)
	c.mu.Lock()
	location, _ := d.view.Locate("r1")
	c.mu.Unlock()
	client := &peer{cluster: c, from: d, to: location.Replica.Gate}
	_, _ = client.Release(ctx, release)
}

// dispatch runs a request at the first endpoint and returns how it ended.
func (c *cluster) dispatch(response *wire.AcquireResponse, id string, planned requestPlan) wire.Ending {
	c.mu.Lock()
	e := &c.endpoints[0]
	if e.missing || e.state != engine.Ready || (c.script.Checks && response.Fence != e.fence) {
		c.mu.Unlock()
		return wire.Ending_ENDING_REFUSED
	}
	boot := e.boot
	e.running[id] = true
	c.longestGap = max(c.longestGap, time.Since(c.lastDispatch))
	c.lastDispatch = time.Now()
	e.recordHistory()
	c.checkInvariants(response.Fence)
	c.mu.Unlock()
	if planned.silent {
		c.group.Go(func() { c.finish(e, boot, id, planned.service) })
		_ = clock.Sleep(c.ctx, planned.service/4)
		return wire.Ending_ENDING_BROKEN
	}
	return c.finish(e, boot, id, planned.service)
}

// finish runs a request to its end.
func (c *cluster) finish(e *endpoint, boot uint64, id string, service time.Duration) wire.Ending {
	_ = clock.Sleep(c.ctx, service)
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.boot != boot || e.missing {
		return wire.Ending_ENDING_CRASHED
	}
	delete(e.running, id)
	e.completed++
	e.recordHistory()
	c.served++
	return wire.Ending_ENDING_COMPLETE
}

// checkInvariants checks the invariants of TestLimitHolds at the time of a
// dispatch.
func (c *cluster) checkInvariants(fence uint64) {
	e := &c.endpoints[0]
	if limit := RampLimit(c.ramp, e.completed); len(e.running) > limit {
		c.fail("%d in progress after %d completed, ramp allows %d", len(e.running), e.completed, limit)
	}
	for i := range c.endpoints {
		since, left := c.endpoints[i].fenceLostAt[fence]
		if left && time.Since(since) > ProbeValidity+PermitValidity+10*time.Millisecond { // 10 ms is a tolerance
			c.fail("dispatched %v after host%d left fence %d", time.Since(since), i, fence)
		}
	}
	if c.out.After(c.viewsUnblockedAt) && time.Since(c.out) > drainTimeout {
		c.fail("dispatched %v after the domain was taken out", time.Since(c.out))
	}
}

// fail records the first violation.
func (c *cluster) fail(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, args...)
	}
}
