package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/conns"
	"clementinehead.example/chead/front"
	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/groups"
	"clementinehead.example/chead/guide"
	"clementinehead.example/chead/pick"
	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/sight"
	"clementinehead.example/chead/site"
)

const (
	proofMargin  = 1400 * time.Millisecond // a watch may miss a change for about a second
	readyAge     = 2600 * time.Millisecond // a daemon whose view is older takes no callers
	budgetPart   = 0.88                    // of the shared budget that the daemons spend
	leaveListen  = 3500 * time.Millisecond // connections are taken for so long after SIGTERM
	leaveMargin  = 700 * time.Millisecond  // before SIGKILL
	sweepEach    = time.Second
	fewestShares = 6 // daemons that the budget is shared among at the least
)

// Options are what a Daemon needs.
type Options struct {
	Settings Settings
	Log      logr.Logger
	Registry *prometheus.Registry
}

// Daemon is one daemon. Use New.
type Daemon struct {
	options Options
	self    site.Daemon
	leaving atomic.Bool
	inForce atomic.Pointer[Settings] // of these the bounds
	began   time.Time

	store   *platform.Store
	sight   *sight.Sight
	gossip  *gossip.Gossip
	desk    *pick.Desk
	pool    *conns.Pool
	strikes *front.Strikes
	front   *front.Front
	keeper  *groups.Keeper
	guide   *guide.Guide
}

// New returns a daemon that does nothing before Run. The error is of kind
// Address.
func New(o Options) (*Daemon, error) {
	s := o.Settings
	d := &Daemon{options: o, strikes: &front.Strikes{}, began: time.Now()}
	d.inForce.Store(&s)
	d.self = site.Daemon{
		ID: s.ID + "." + strconv.FormatInt(time.Now().UnixMilli(), 36), Domain: s.Domain, Caller: s.Caller, Peer: s.Peer,
	}
	packets, err := net.ListenPacket("udp4", s.Peer)
	if err != nil {
		return nil, &Error{Op: "listen peer", Kind: Address, Err: err}
	}
	calls := caller()
	d.store = platform.NewStore(s.Store, calls.Do)
	d.sight = sight.New(sight.Options{
		Store: d.store, Boot: clock.Boot, Log: o.Log,
		Pause: func() time.Duration { return d.bounds().pause() },
		Quick: func() bool { return d.keeper.InOffice() },
	})
	d.gossip = gossip.New(gossip.Options{
		Self: d.self, Conn: packets, Boot: clock.Boot, Log: o.Log, Tell: d.tell, Hear: func(gossip.Message) {},
		Listed: func() map[string]site.Daemon { return d.sight.View().Daemons },
	})
	d.desk = pick.New(pick.Options{
		Domain: s.Domain, Boot: clock.Boot, View: d.sight.View, Alive: d.gossip.Alive,
		Budget: d.budget, Shares: d.shares, Draw: rand.Float64, Log: o.Log,
	})
	d.pool = conns.New(conns.Dial)
	d.front = front.New(front.Options{
		View: d.sight.View, Age: d.sight.Age, Desk: d.desk, Pool: d.pool,
		KeyLimit: func() time.Duration { return d.bounds().revoke() - proofMargin },
		Strikes:  d.strikes, Metrics: front.NewMetrics(o.Registry), Log: o.Log,
	})
	d.keeper = groups.New(groups.Options{
		Self: d.self, Store: d.store, Engines: &platform.Engines{Do: calls.Do}, Sight: d.sight, Alive: d.gossip.Alive,
		Demand: d.demand, Boot: clock.Boot, Log: o.Log, Metrics: groups.NewMetrics(o.Registry),
	})
	d.guide = guide.New(guide.Options{Self: d.self, Ready: d.ready, Peers: d.peers})
	return d, nil
}

// caller returns a client for the store and for orders. It keeps few
// connections, each for a short time, since they may fall silent.
func caller() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return conns.Dial(ctx, address) },
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     4 * time.Second,
		DisableCompression:  true,
		ReadBufferSize:      4 << 10,
		WriteBufferSize:     2 << 10,
	}}
}

// ready reports whether this daemon takes callers.
func (d *Daemon) ready() bool {
	return !d.leaving.Load() && d.sight.View().Config != nil && d.sight.Age() < readyAge
}

// limits returns what callers may send, by the configuration in force.
func (d *Daemon) limits() site.Limits {
	if c := d.sight.View().Config; c != nil {
		return c.Limits
	}
	return site.Limits{}
}

// peers returns the other daemons that take callers.
func (d *Daemon) peers() []site.Daemon {
	var ready []site.Daemon
	for _, m := range d.gossip.Alive() {
		if m.Ready {
			ready = append(ready, m.From)
		}
	}
	return ready
}

// shares returns among how many daemons the budget is shared: all that the store
// lists, also those that are not heard, since they may still serve.
func (d *Daemon) shares() int {
	return among(d.self.ID, d.sight.View().Daemons, d.gossip.Alive())
}

// among counts the daemons that are listed or heard, this one with them, and at
// least fewestShares.
func among(self string, listed map[string]site.Daemon, heard []gossip.Message) int {
	known := map[string]bool{self: true}
	for id := range listed {
		known[id] = true
	}
	for _, m := range heard {
		known[m.From.ID] = true
	}
	return max(fewestShares, len(known))
}

func (d *Daemon) demand() map[string]int {
	return d.desk.Report().Demand
}

// tell returns what the other daemons are told.
func (d *Daemon) tell() gossip.Message {
	m := d.desk.Report()
	m.Groups, m.Term = d.keeper.Told()
	m.Ready = d.ready()
	m.Fresh = !d.leaving.Load() && d.sight.Age() < readyAge
	m.Revision = d.sight.View().Revision
	m.Strikes = d.strikes.Told()
	return m
}

// listen takes in what the other daemons said, ten times a second.
func (d *Daemon) listen(ctx context.Context) error {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		alive := d.gossip.Alive()
		own, _ := d.keeper.Told()
		d.desk.Update(alive, own)
		sums := map[string]int{}
		for _, m := range alive {
			for digest, n := range m.Strikes {
				sums[digest] += n
			}
		}
		d.strikes.Hear(sums)
	}
}

func (d *Daemon) sweep(ctx context.Context) error {
	for clock.Sleep(ctx, sweepEach) {
		d.pool.Sweep()
	}
	return nil
}

// Run serves until the context ends, then leaves without cutting off a request
// in progress.
func (d *Daemon) Run(ctx context.Context) error {
	s := d.options.Settings
	d.options.Log.Info("daemon starts", "self", d.self.ID, "domain", s.Domain, "caller", s.Caller)
	parts, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, parts := errgroup.WithContext(parts)
	callers := &http.Server{Handler: d.front, ConnState: front.NewIdle(d.limits).State}
	for _, server := range d.servers(callers) {
		listener, err := net.Listen("tcp4", server.address)
		if err != nil {
			return &Error{Op: "listen " + server.name, Kind: Address, Err: err}
		}
		group.Go(func() error { return server.run(parts, listener) })
	}
	own := &record{self: d.self, store: d.store, log: d.options.Log}
	for _, run := range []func(context.Context) error{d.sight.Run, d.gossip.Run, d.keeper.Run, d.listen, d.sweep, own.run} {
		group.Go(func() error { return ended(parts, run(parts)) })
	}
	group.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
			d.leave(parts, callers)
		case <-parts.Done():
		}
		return nil
	})
	err := group.Wait()
	d.options.Log.Info("daemon stops", "self", d.self.ID)
	return err
}

// ended passes over an end that was asked for.
func ended(ctx context.Context, err error) error {
	if err == nil || ctx.Err() != nil {
		return nil
	}
	return &Error{Op: "run", Kind: Part, Err: err}
}
