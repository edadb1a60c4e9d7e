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
	"github.com/prometheus/client_golang/prometheus/promhttp"
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
	headerTime   = 5 * time.Second
	idleTime     = 60 * time.Second
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
	d.sight = sight.New(sight.Options{Store: d.store, Boot: clock.Boot, Log: o.Log, Pause: func() time.Duration { return d.bounds().pause() }, Quick: func() bool { return d.keeper.InOffice() }})
	d.gossip = gossip.New(gossip.Options{
		Self: d.self, Conn: packets, Boot: clock.Boot, Log: o.Log, Tell: d.tell, Hear: func(gossip.Message) {},
		Listed: func() map[string]site.Daemon { return d.sight.View().Daemons },
	})
	d.desk = pick.New(pick.Options{
		Domain: s.Domain, Boot: clock.Boot, View: d.sight.View, Alive: d.gossip.Alive,
		Budget: d.budget, Shares: d.shares, Draw: rand.Float64,
	})
	d.pool = conns.New(conns.Dial)
	d.front = front.New(front.Options{
		View: d.sight.View, Age: d.sight.Age, KeyLimit: func() time.Duration { return d.bounds().revoke() - proofMargin }, Desk: d.desk, Pool: d.pool,
		Strikes: d.strikes, Metrics: front.NewMetrics(o.Registry), Log: o.Log,
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
	checks := http.NewServeMux()
	checks.HandleFunc("GET "+platform.ReadyPath, d.guide.Readiness)
	directory := http.NewServeMux()
	directory.HandleFunc("GET "+platform.ResolvePath, d.guide.Resolve)
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", promhttp.HandlerFor(d.options.Registry, promhttp.HandlerOpts{}))
	servers := []served{
		{"caller", s.Caller, callers},
		{"ready", s.Ready, &http.Server{Handler: checks, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}},
		{"guide", s.Guide, &http.Server{Handler: directory, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}},
	}
	if s.Metrics != "" {
		servers = append(servers, served{"metrics", s.Metrics, &http.Server{Handler: metrics, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}})
	}
	for _, server := range servers {
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

// served is one of the daemon's servers.
type served struct {
	name    string
	address string
	server  *http.Server
}

func (s served) run(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	if err := s.server.Serve(listener); err != http.ErrServerClosed {
		return &Error{Op: "serve " + s.name, Kind: Part, Err: err}
	}
	return nil
}

// leave steers callers away, goes on with connections until those who keep an
// older answer have asked again, and waits for what is in progress.
func (d *Daemon) leave(ctx context.Context, callers *http.Server) {
	d.options.Log.Info("daemon leaves", "active", d.front.Active())
	d.leaving.Store(true)
	d.front.Leave()
	clock.Sleep(ctx, leaveListen)
	ctx, cancel := context.WithTimeout(ctx, d.bounds().grace()-leaveListen-leaveMargin)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		d.options.Log.Info("requests cut off", "active", d.front.Active())
	}
}
