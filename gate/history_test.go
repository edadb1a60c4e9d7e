package gate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/engine"
)

// action is one event of a script.
type action struct {
	Pause  time.Duration // before the event
	Kind   string
	Daemon int
	Span   time.Duration // of an event that ends by itself
}

// script is a random or given history of the simulation.
type script struct {
	Seed    uint64
	Checks  bool          // endpoints refuse an old fencing token
	Lag     time.Duration // of load reports
	Loss    float64       // fraction of releases that are lost
	Burst   time.Duration // callers are active and silent in turn for this time, 0 for always active
	Silent  float64       // fraction of requests whose connection goes silent while they run
	Service time.Duration // longest time of a request
	Actions []action
}

// kinds are the kinds of actions; applyLocked defines their effects. A "rest"
// has no effect.
var kinds = []string{
	"rename", "crash", "pause", "cut", "isolate", "store", "restart", "member", "miss", "out", "rest", "blind",
}

const (
	clusterDaemons = 3
	loadTime       = time.Second
	orderTime      = time.Second // until the keeper checks whether its orders were accepted
)

func drawScript(t *rapid.T) script {
	span := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.IntRange(50, 8000).Draw(t, "ms")) * time.Millisecond
	})
	one := rapid.Custom(func(t *rapid.T) action {
		return action{
			Pause:  span.Draw(t, "pause") / 2,
			Kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
			Daemon: rapid.IntRange(0, clusterDaemons-1).Draw(t, "daemon"),
			Span:   span.Draw(t, "span"),
		}
	})
	return script{
		Seed:    rapid.Uint64().Draw(t, "seed"),
		Checks:  rapid.Bool().Draw(t, "checks"),
		Lag:     time.Duration(rapid.IntRange(0, 990).Draw(t, "lag")) * time.Millisecond,
		Loss:    rapid.SampledFrom([]float64{0, 0, 0.05, 0.3}).Draw(t, "loss"),
		Burst:   time.Duration(rapid.SampledFrom([]int{0, 0, 300, 700, 1500}).Draw(t, "burst")) * time.Millisecond,
		Silent:  rapid.SampledFrom([]float64{0, 0, 0.1}).Draw(t, "silent"),
		Service: time.Duration(rapid.SampledFrom([]int{300, 1500, 6000}).Draw(t, "service")) * time.Millisecond,
		Actions: rapid.SliceOfN(one, 3, 14).Draw(t, "actions"),
	}
}

// runScript runs a script and returns the first violation and the number of
// requests served.
func runScript(s script) (string, int) {
	c := simulate(s)
	return c.violation, c.served
}

// simulate runs a script to its end.
func simulate(s script) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	c := newCluster(ctx, s)
	c.group.Go(func() { c.runKeeper() })
	time.Sleep(5 * time.Second)
	c.mu.Lock()
	c.lastDispatch, c.longestGap = time.Now(), 0
	c.mu.Unlock()
	for _, a := range s.Actions {
		time.Sleep(a.Pause)
		c.apply(a)
	}
	time.Sleep(10 * time.Second)
	cancel()
	c.group.Wait()
	return c
}

// apply carries out one action.
func (c *cluster) apply(a action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyLocked(a)
}

// applyLocked is apply with c.mu held.
func (c *cluster) applyLocked(a action) {
	d := c.daemons[a.Daemon]
	switch a.Kind {
	case "rename":
		c.moveGate(d)
	case "crash":
		c.crash(d, a.Span)
	case "pause":
		c.pause(d, a.Span)
	case "cut":
		c.cutLink(d, c.daemons[(a.Daemon+1)%clusterDaemons], a.Span)
	case "isolate":
		c.cutLink(d, c.daemons[(a.Daemon+1)%clusterDaemons], a.Span)
		c.cutLink(d, c.daemons[(a.Daemon+2)%clusterDaemons], a.Span)
	case "store":
		c.store = false
		c.afterLocked(4*a.Span, func() { c.store = true })
	case "restart":
		c.endpoints[0].start(c.endpoints[0].boot + 10)
	case "member":
		c.endpoints[1].start(c.endpoints[1].boot + 10)
	case "miss":
		e := &c.endpoints[1]
		e.missing = true
		e.fenceLostAt[e.fence] = time.Now()
		c.afterLocked(a.Span, func() { e.missing = false; delete(e.fenceLostAt, e.fence) })
	case "blind":
		c.blockViews(d, a.Span)
	case "out":
		c.takeOut(a.Span)
	}
}

// afterLocked calls do after a delay with c.mu held.
func (c *cluster) afterLocked(delay time.Duration, do func()) {
	c.after(delay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		do()
	})
}

// takeOut takes the domain out of service for a time.
func (c *cluster) takeOut(span time.Duration) {
	if !c.store || !c.out.IsZero() {
		return
	}
	c.out = time.Now()
	c.publishView()
	c.afterLocked(span+drainTimeout, func() {
		c.out = time.Time{}
		c.publishView()
	})
}

// moveGate names another gate. The members receive an order with a higher
// fencing token.
func (c *cluster) moveGate(d *daemon) {
	if !c.store || c.replica.Gate == d.id {
		return
	}
	c.replica.Gate = d.id
	c.replica.GateFence = c.replica.Fence + 1
	c.order()
}

// order sends the members a new order and records it.
func (c *cluster) order() {
	c.replica.Fence++
	c.orderedAt = time.Now()
	c.replica.Members = append(c.replica.Members[:0:0], c.replica.Members...)
	fence := c.replica.Fence
	for i := range c.endpoints {
		e := &c.endpoints[i]
		c.replica.Members[i].Boot = e.boot
		c.afterLocked(time.Duration(c.random.Int64N(int64(300*time.Millisecond))), func() {
			if e.fence < fence && !e.missing {
				c.load(e, fence)
			}
		})
	}
	c.publishView()
}

// load gives an endpoint an order. An idle endpoint loads its weights first.
func (c *cluster) load(e *endpoint, fence uint64) {
	e.setFence(fence)
	if e.state != engine.Idle {
		return
	}
	e.state = engine.Loading
	boot := e.boot
	c.afterLocked(loadTime, func() {
		if e.boot == boot {
			e.state = engine.Ready
		}
	})
}

// crash stops a daemon, and starts it again after a time.
func (c *cluster) crash(d *daemon, span time.Duration) {
	if !d.crashed.IsZero() {
		return
	}
	d.crashed = time.Now()
	d.cancel()
	c.afterLocked(span, func() { c.launch(d) })
}

// pause pauses a daemon for a time.
func (c *cluster) pause(d *daemon, span time.Duration) {
	if d.resume != nil {
		return
	}
	d.resume = make(chan struct{})
	c.afterLocked(span, func() {
		close(d.resume)
		d.resume = nil
		for id := range d.reachedAt {
			d.reachedAt[id] = time.Now() // has not noticed the pause yet
		}
	})
}

// blockViews keeps newer views from a daemon for a time. Drains are not checked
// meanwhile.
func (c *cluster) blockViews(d *daemon, span time.Duration) {
	if d.viewsBlocked {
		return
	}
	d.viewsBlocked = true
	c.viewsUnblockedAt = time.Now().Add(time.Hour)
	c.afterLocked(span, func() {
		d.viewsBlocked = false
		c.viewsUnblockedAt = time.Now()
		for _, other := range c.daemons {
			if other.viewsBlocked {
				c.viewsUnblockedAt = time.Now().Add(time.Hour)
			}
		}
		c.publishView()
	})
}

// cutLink cuts the connection between two daemons for a time.
func (c *cluster) cutLink(a, b *daemon, span time.Duration) {
	a.cut[b.id] = true
	c.afterLocked(span, func() { delete(a.cut, b.id) })
}

// runKeeper simulates the keeper: it orders members that differ from their
// orders, and names another gate when the gate's daemon is dead.
func (c *cluster) runKeeper() {
	for clock.Sleep(c.ctx, 500*time.Millisecond) {
		c.mu.Lock()
		if c.store {
			c.confirmedAt = time.Now()
			c.keeperStep()
		}
		c.mu.Unlock()
	}
}

// keeperStep sends a new order if a member differs from its order. Otherwise it
// names another gate three seconds after the gate's daemon crashed.
func (c *cluster) keeperStep() {
	if time.Since(c.orderedAt) < orderTime {
		return
	}
	for i := range c.endpoints {
		e := &c.endpoints[i]
		if !e.missing && (e.boot != c.replica.Members[i].Boot || e.fence != c.replica.Fence) {
			c.order()
			return
		}
	}
	for _, d := range c.daemons {
		if d.id != c.replica.Gate || d.crashed.IsZero() || time.Since(d.crashed) < 3*time.Second {
			continue
		}
		for _, other := range c.daemons {
			if other.crashed.IsZero() {
				c.moveGate(other)
				return
			}
		}
	}
}

// TestLimitHolds checks the invariants on random histories of gate changes,
// crashes, pauses, cut connections, restarts and lost releases. An endpoint
// never runs more requests than its ramp allows. Nothing is dispatched to a
// replica with a member that no longer has the replica's fencing token, beyond
// the validity of probes and permits, or to a domain that was taken out of
// service, beyond drainTimeout.
func TestLimitHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScript(rt)
		var violation string
		synctest.Test(t, func(*testing.T) { violation, _ = runScript(s) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

// TestFaultHistories checks the invariants of TestLimitHolds on histories that
// each cause one fault.
func TestFaultHistories(t *testing.T) {
	second := time.Second
	cases := []struct {
		name    string
		checks  bool
		actions []action
	}{
		{"gate that does not learn that another is named", false, []action{
			{Kind: "blind", Daemon: 0, Span: 8 * second},
			{Pause: second, Kind: "rename", Daemon: 1},
			{Pause: 8 * second, Kind: "rest"},
		}},
		{"member that starts again, unknown to the gate", false, []action{
			{Kind: "blind", Daemon: 0, Span: 8 * second},
			{Pause: second, Kind: "member"},
			{Pause: 8 * second, Kind: "rest"},
		}},
		{"gate that wakes after another was named", false, []action{
			{Kind: "pause", Daemon: 0, Span: 5 * second},
			{Pause: second, Kind: "rename", Daemon: 1},
			{Pause: 6 * second, Kind: "rest"},
		}},
		{"gate that wakes after its domain was taken out", true, []action{
			{Kind: "pause", Daemon: 0, Span: 4 * second},
			{Pause: second / 10, Kind: "out", Span: 8 * second},
			{Pause: 8 * second, Kind: "rest"},
		}},
		{"gate that crashes and starts again", false, []action{
			{Kind: "crash", Daemon: 0, Span: second / 4},
			{Pause: 6 * second, Kind: "rest"},
		}},
		{"gate alone on its side of a partition while the store is down", false, []action{
			{Kind: "store", Span: 20 * second},
			{Pause: 20 * second, Kind: "isolate", Daemon: 0, Span: 30 * second},
			{Pause: 30 * second, Kind: "rest"},
		}},
		{"gate that crashes while the store is down, and returns", false, []action{
			{Kind: "store", Span: 20 * second},
			{Pause: 20 * second, Kind: "crash", Daemon: 0, Span: 15 * second},
			{Pause: 30 * second, Kind: "rest"},
		}},
		{"gate that pauses while the store is down", false, []action{
			{Kind: "store", Span: 20 * second},
			{Pause: 20 * second, Kind: "pause", Daemon: 0, Span: 15 * second},
			{Pause: 30 * second, Kind: "rest"},
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(3) {
				s := script{Seed: seed, Checks: test.checks, Lag: 900 * time.Millisecond, Service: 3 * time.Second, Actions: test.actions}
				var violation string
				var served int
				synctest.Test(t, func(*testing.T) { violation, served = runScript(s) })
				is.Equal(violation, "")
				is.True(served > 0)
			}
		})
	}
}

// TestServesWithoutFaults checks that the simulation serves requests when
// nothing fails.
func TestServesWithoutFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		violation, served := runScript(script{Seed: 1, Service: time.Second, Actions: []action{{Kind: "rest", Pause: 20 * time.Second}}})
		if violation != "" || served < 100 {
			t.Fatalf("served %d, fault %q", served, violation)
		}
	})
}
