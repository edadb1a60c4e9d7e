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
	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/edit"
	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/store"
	"clementinehead.example/chead/view"
	"clementinehead.example/chead/wire"
)

// world is one replica of two endpoints, the daemons before it, and the truth
// about all of them. It notes the first violation of what must always hold.
type world struct {
	mu      sync.Mutex
	script  script
	random  *rand.Rand // of the script; what runs beside it draws by its own name
	began   time.Time
	ramp    conf.Ramp
	hosts   [2]host
	replica fleet.Replica
	out     time.Time // when operators took the domain out, zero while in
	store   bool      // the store answers
	vouched time.Time
	ordered time.Time // when the members last got an order
	daemons []*daemon
	changed chan struct{}
	serial  int       // of the newest view
	seeing  time.Time // when all daemons last began to get newer views
	fault   string
	served  int
	last    time.Time     // of the last dispatch
	gap     time.Duration // longest between dispatches since the script began
	group   sync.WaitGroup
	ctx     context.Context
}

// host is an endpoint. Only the first one takes requests.
type host struct {
	address   string
	boot      uint64
	fence     uint64
	state     engine.State
	missing   bool
	running   map[string]bool
	completed uint64
	past      []past
	wrong     map[uint64]time.Time // by fence: since when the host has not had it
}

// past is what a report shows after its lag.
type past struct {
	at        time.Time
	running   int
	completed uint64
}

// daemon is a daemon with a gate and an entry.
type daemon struct {
	id      string
	boot    uint64
	gate    *Gate
	view    *view.View
	serial  int  // of the view
	blind   bool // gets no newer view
	vouched time.Time
	cancel  context.CancelFunc
	crashed time.Time
	resume  chan struct{} // not nil while paused
	reached map[string]time.Time
	cut     map[string]bool
}

const (
	worldDomain = "coast-a"
	spreadMost  = 500 * time.Millisecond // until a daemon has a new view
	slowOne     = 50                     // of how many answers one comes late
	slowMost    = 4 * time.Second        // and by how much at most
	drainBound  = 3 * time.Second
)

var errDown = errors.New("down")

func newWorld(ctx context.Context, s script) *world {
	w := &world{
		script:  s,
		began:   time.Now(),
		random:  rand.New(rand.NewPCG(s.Seed, 0)),
		ramp:    conf.Ramp{Start: 1, Step: 4, Full: 8},
		store:   true,
		vouched: time.Now(),
		changed: make(chan struct{}),
		ctx:     ctx,
	}
	w.replica = fleet.Replica{ID: "r1", Group: "g", State: chart.Serving, Fence: 1, Gate: "d0", Named: 1}
	for i := range w.hosts {
		w.hosts[i] = host{
			address: fmt.Sprintf("host%d", i),
			running: map[string]bool{},
			wrong:   map[uint64]time.Time{},
		}
		w.hosts[i].start(uint64(i + 1))
		w.hosts[i].take(1)
		w.hosts[i].state = engine.Ready
		w.replica.Members = append(w.replica.Members, fleet.Member{
			Instance: w.hosts[i].address, Address: w.hosts[i].address, Boot: w.hosts[i].boot,
		})
	}
	for i := range modelDaemons {
		w.daemons = append(w.daemons, &daemon{id: fmt.Sprintf("d%d", i), cut: map[string]bool{}})
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range w.daemons {
		w.launch(d)
	}
	return w
}

func (h *host) start(boot uint64) {
	h.boot, h.fence, h.state = boot, 0, engine.Idle
	h.running = map[string]bool{}
	h.completed = 0
	h.past = nil
	h.note()
}

func (h *host) take(fence uint64) {
	h.wrong[h.fence] = time.Now()
	h.fence = fence
	delete(h.wrong, fence)
}

func (h *host) note() {
	h.past = append(h.past, past{at: time.Now(), running: len(h.running), completed: h.completed})
}

// report returns what a probe shows.
func (h *host) report(lag time.Duration) engine.Report {
	shown := h.past[0]
	for _, p := range h.past {
		if time.Since(p.at) >= lag {
			shown = p
		}
	}
	return engine.Report{
		Boot: h.boot, Fence: h.fence, State: h.state, Running: shown.running, Completed: shown.completed,
	}
}

// picture returns the view as the store has it.
func (w *world) picture() *view.View {
	envelope := edit.Envelope{Document: conf.Document{
		Groups:   map[string]conf.Group{"g": {Model: "m", Accounts: []string{"a", "b"}}},
		Accounts: map[string]conf.Account{"a": {}, "b": {}},
		Domains:  map[string]conf.Domain{worldDomain: {Out: !w.out.IsZero()}},
		Capacity: conf.Capacity{Ramp: w.ramp},
		Limits:   conf.Limits{Request: conf.Duration(10 * time.Second)},
	}}
	fabric := fleet.Fabric{Name: "f", Domain: worldDomain, Replicas: []fleet.Replica{w.replica}}
	entries := map[string]store.Entry{}
	for key, value := range map[string]any{fleet.Conf: envelope, fleet.Key("f"): fabric} {
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

// spread brings the view to all daemons, to each after another time.
func (w *world) spread() {
	w.serial++
	v, serial := w.picture(), w.serial
	for _, d := range w.daemons {
		delay := time.Duration(w.random.Int64N(int64(spreadMost)))
		w.after(delay, func() {
			if w.awake(d) {
				_ = sleep(w.ctx, delay) // what comes to a daemon that wakes is late
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			if d.blind {
				return // it is told again when it sees again
			}
			if serial < d.serial {
				return
			}
			d.view, d.serial = v, serial
			close(w.changed)
			w.changed = make(chan struct{})
		})
	}
}

// after does something later, unless the world ends before.
func (w *world) after(delay time.Duration, do func()) {
	w.group.Go(func() {
		if sleep(w.ctx, delay) {
			do()
		}
	})
}

// launch starts a daemon.
func (w *world) launch(d *daemon) {
	if w.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(w.ctx)
	d.boot++
	d.cancel = cancel
	d.crashed = time.Time{}
	d.view, d.serial = w.picture(), w.serial
	d.reached = map[string]time.Time{}
	for _, other := range w.daemons {
		d.reached[other.id] = time.Now()
	}
	gate := New(Options{
		Self: d.id, Boot: d.boot, Log: logr.Discard(), Rand: rand.New(rand.NewPCG(w.script.Seed+d.boot, xxhash.Sum64String(d.id))),
		View:      func() *view.View { w.awake(d); w.mu.Lock(); defer w.mu.Unlock(); return d.view },
		Changed:   func() <-chan struct{} { w.mu.Lock(); defer w.mu.Unlock(); return w.changed },
		Daemons:   func() []*wire.Daemon { return w.roster(d) },
		Confirmed: func() time.Time { return w.confirmed(d) },
		Probe:     func(_ context.Context, address string) (engine.Report, error) { return w.probe(d, address) },
		Feed:      func(context.Context, string, uint64) (engine.Feed, error) { return engine.Feed{}, errDown },
		Client:    func(address string) wire.GateClient { return &peer{world: w, from: d, to: address} },
	})
	d.gate = gate
	w.group.Go(func() { _ = gate.Run(ctx) })
	w.group.Go(func() { w.call(ctx, d) })
}

// confirmed returns when the store last vouched for a daemon's view.
func (w *world) confirmed(d *daemon) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if d.serial == w.serial {
		d.vouched = w.vouched
	}
	return d.vouched
}

// awake waits while a daemon is paused, and reports whether it was.
func (w *world) awake(d *daemon) bool {
	for waited := false; ; waited = true {
		w.mu.Lock()
		resume := d.resume
		w.mu.Unlock()
		if resume == nil {
			return waited
		}
		select {
		case <-resume:
		case <-w.ctx.Done():
			return waited
		}
	}
}

func (w *world) probe(d *daemon, address string) (engine.Report, error) {
	_ = sleep(w.ctx, time.Millisecond)
	w.mu.Lock()
	report, err := engine.Report{}, errDown
	for i := range w.hosts {
		if h := &w.hosts[i]; h.address == address && !h.missing {
			report, err = h.report(w.script.Lag), nil
		}
	}
	w.mu.Unlock()
	w.awake(d)
	return report, err
}

// roster returns the daemons as one of them sees them.
func (w *world) roster(d *daemon) []*wire.Daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []*wire.Daemon
	for _, other := range w.daemons {
		if other == d || w.reaches(d, other) {
			d.reached[other.id] = time.Now()
		}
		all = append(all, &wire.Daemon{
			Id: other.id, Boot: other.boot, PeerAddress: other.id, Domain: worldDomain,
			Standing: standingAfter(time.Since(d.reached[other.id])),
		})
	}
	return all
}

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

// reaches reports whether one daemon can talk to another.
func (w *world) reaches(a, b *daemon) bool {
	return b.crashed.IsZero() && b.resume == nil && !a.cut[b.id] && !b.cut[a.id]
}

// peer is a client of another daemon's gate.
type peer struct {
	world *world
	from  *daemon
	to    string
}

// reach returns the gate at the other end, after the time of a message.
func (p *peer) reach(ctx context.Context) (*Gate, error) {
	_ = sleep(ctx, time.Millisecond)
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	for _, d := range p.world.daemons {
		if d.id == p.to && d.crashed.IsZero() && !p.from.cut[d.id] && !d.cut[p.from.id] {
			return d.gate, nil
		}
	}
	return nil, errDown
}

func (p *peer) awake() {
	for _, d := range p.world.daemons {
		if d.id == p.to {
			p.world.awake(d)
		}
	}
}

func (p *peer) Acquire(ctx context.Context, r *wire.AcquireRequest) (*wire.AcquireResponse, error) {
	gate, err := p.reach(ctx)
	if err != nil {
		return nil, err
	}
	p.awake()
	response, err := gate.Acquire(ctx, r)
	p.awake()
	return response, err
}

func (p *peer) Release(ctx context.Context, r *wire.ReleaseRequest) (*wire.ReleaseResponse, error) {
	gate, err := p.reach(ctx)
	if err != nil {
		return nil, err
	}
	p.awake()
	return gate.Release(ctx, r)
}

func (p *peer) Handover(ctx context.Context, r *wire.HandoverRequest) (*wire.HandoverResponse, error) {
	gate, err := p.reach(ctx)
	if err != nil {
		return nil, err
	}
	p.awake()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return gate.Handover(ctx, r)
}

func (p *peer) Strike(ctx context.Context, r *wire.StrikeRequest) (*wire.StrikeResponse, error) {
	gate, err := p.reach(ctx)
	if err != nil {
		return nil, err
	}
	return gate.Strike(ctx, r)
}

// call sends requests through a daemon's entry until it ends.
func (w *world) call(ctx context.Context, d *daemon) {
	w.mu.Lock()
	boot, loss, longest := d.boot, w.script.Loss, w.script.Service
	w.mu.Unlock()
	random := rand.New(rand.NewPCG(w.script.Seed, xxhash.Sum64String(d.id)+boot))
	for n := 0; ; n++ {
		pause := time.Duration(random.Int64N(int64(120 * time.Millisecond)))
		service := time.Duration(random.Int64N(int64(longest)))
		silent := random.Float64() < w.script.Silent
		lost := random.Float64() < loss
		delay := time.Duration(0)
		if random.IntN(slowOne) == 0 {
			delay = time.Duration(random.Int64N(int64(slowMost)))
		}
		if !sleep(ctx, pause) {
			return
		}
		w.awake(d)
		if w.quiet() {
			continue
		}
		id := fmt.Sprintf("%s/%d/%d", d.id, boot, n)
		w.group.Go(func() { w.request(ctx, d, boot, id, trait{service, lost, silent, delay}) })
	}
}

// quiet reports whether callers stay away at present.
func (w *world) quiet() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.script.Burst > 0 && time.Since(w.began)/w.script.Burst%2 == 1
}

// trait is what will become of a request.
type trait struct {
	service time.Duration
	lost    bool          // its release is lost
	silent  bool          // its connection goes silent while it runs
	delay   time.Duration // of the gate's answer
}

// request is one request at its entry.
func (w *world) request(ctx context.Context, d *daemon, boot uint64, id string, its trait) {
	asked := time.Now()
	client, response := w.acquire(ctx, d, boot, id)
	_ = sleep(ctx, its.delay)
	w.awake(d)
	if response == nil || ctx.Err() != nil {
		return
	}
	release := &wire.ReleaseRequest{Replica: "r1", Daemon: d.id, Permit: response.Permit, Request: id}
	release.Ending = wire.Ending_ENDING_UNUSED
	if time.Since(asked) < response.Validity.AsDuration() {
		release.Ending = w.dispatch(response, id, its)
	}
	if its.lost || ctx.Err() != nil {
		return
	}
	w.awake(d)
	if _, err := client.Release(ctx, release); err != nil {
		w.release(ctx, d, release)
	}
}

// acquire asks the gate for a permit, and where it can't be reached those that
// may stand in for it.
func (w *world) acquire(ctx context.Context, d *daemon, boot uint64, id string) (*peer, *wire.AcquireResponse) {
	w.mu.Lock()
	v := d.view
	w.mu.Unlock()
	place, _ := v.Place("r1")
	gates := append([]string{place.Replica.Gate}, Substitutes(v, w.roster(d), "r1")...)
	for _, gate := range gates {
		client := &peer{world: w, from: d, to: gate}
		response, err := client.Acquire(ctx, &wire.AcquireRequest{
			Replica: "r1", Daemon: d.id, Boot: boot, Request: id, Account: "a", Tokens: 10,
		})
		if err == nil && response.Verdict == wire.Verdict_VERDICT_GRANTED {
			return client, response
		}
	}
	return nil, nil
}

// release tells the replica's present gate, where the one that gave the permit
// can't be reached.
func (w *world) release(ctx context.Context, d *daemon, release *wire.ReleaseRequest) {
	w.awake(d)
	w.mu.Lock()
	place, _ := d.view.Place("r1")
	w.mu.Unlock()
	client := &peer{world: w, from: d, to: place.Replica.Gate}
	_, _ = client.Release(ctx, release)
}

// dispatch runs a request at the first host and returns how it ended.
func (w *world) dispatch(response *wire.AcquireResponse, id string, its trait) wire.Ending {
	w.mu.Lock()
	h := &w.hosts[0]
	if h.missing || h.state != engine.Ready || (w.script.Checks && response.Fence != h.fence) {
		w.mu.Unlock()
		return wire.Ending_ENDING_REFUSED
	}
	boot := h.boot
	h.running[id] = true
	w.gap = max(w.gap, time.Since(w.last))
	w.last = time.Now()
	h.note()
	w.inspect(response.Fence)
	w.mu.Unlock()
	if its.silent {
		w.group.Go(func() { w.finish(h, boot, id, its.service) })
		_ = sleep(w.ctx, its.service/4)
		return wire.Ending_ENDING_BROKEN
	}
	return w.finish(h, boot, id, its.service)
}

// finish lets a request run to its end.
func (w *world) finish(h *host, boot uint64, id string, service time.Duration) wire.Ending {
	_ = sleep(w.ctx, service)
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.boot != boot || h.missing {
		return wire.Ending_ENDING_CRASHED
	}
	delete(h.running, id)
	h.completed++
	h.note()
	w.served++
	return wire.Ending_ENDING_COMPLETE
}

// inspect holds the moment of a dispatch against what must always hold.
func (w *world) inspect(fence uint64) {
	h := &w.hosts[0]
	if limit := RampLimit(w.ramp, h.completed); len(h.running) > limit {
		w.blame("%d in progress after %d completed, ramp allows %d", len(h.running), h.completed, limit)
	}
	for i := range w.hosts {
		since, wrong := w.hosts[i].wrong[fence]
		if wrong && time.Since(since) > ProbeFresh+PermitLife+10*time.Millisecond {
			w.blame("dispatched %v after host%d left fence %d", time.Since(since), i, fence)
		}
	}
	if w.out.After(w.seeing) && time.Since(w.out) > drainBound {
		w.blame("dispatched %v after the domain was taken out", time.Since(w.out))
	}
}

func (w *world) blame(format string, args ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(format, args...)
	}
}
