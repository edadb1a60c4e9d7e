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
	"clementinehead.example/chead/pulse"
	"clementinehead.example/chead/reach"
	"clementinehead.example/chead/reply"
	"clementinehead.example/chead/site"
	"clementinehead.example/chead/watch"
)

const (
	revokeMargin   = 1400 * time.Millisecond // taken off Settings.Revoke, since a watch may miss a change for about a second
	maxReadyAge    = 2600 * time.Millisecond // a daemon with an older snapshot accepts no callers
	budgetFraction = 0.88                    // fraction of the configured retry budget that the daemons use, all together
	sweepInterval  = time.Second             // between two sweeps of the connection pool
	minDaemons     = 6                       // least number of daemons that the budget is divided among
)

// Options configures a Daemon.
type Options struct {
	Settings Settings
	Build    string // name of the program's build, for the log
	Log      logr.Logger
	Registry *prometheus.Registry
}

// Daemon is one daemon. Create it with New.
type Daemon struct {
	options Options
	self    site.Daemon
	leaving atomic.Bool              // whether the daemon is shutting down
	current atomic.Pointer[Settings] // newest settings, of which only those that Reload applies are used
	started time.Time                // since when retries are counted, as pick.Budget.Since
	catchUp catchUp
	census  census
	pulse   *pulse.Pulse

	store   *platform.Store
	watcher *watch.Watcher
	gossip  *gossip.Gossip
	placer  *pick.Placer
	pool    *conns.Pool
	reach   *reach.Reach
	crashes *front.Crashes
	parts   *front.Parts
	front   *front.Front
	keeper  *groups.Keeper
	guide   *guide.Guide
}

// New returns a daemon that has its gossip socket open but does nothing before Run.
// The error is of kind Address.
func New(o Options) (*Daemon, error) {
	s := o.Settings
	d := &Daemon{options: o, crashes: &front.Crashes{}, parts: front.NewParts(o.Log), started: time.Now()}
	d.current.Store(&s)
	d.pulse = pulse.New(pulse.Options{Boot: clock.Boot, Log: o.Log, Registry: o.Registry})
	d.self = site.Daemon{
		ID: s.ID + "." + strconv.FormatInt(time.Now().UnixMilli(), 36), Domain: s.Domain, Region: s.Region, Caller: s.Caller, Peer: s.Peer, Cores: s.Cores,
	}
	d.catchUp.self, d.catchUp.peer, d.catchUp.log = d.self.ID, d.self.Peer, o.Log
	conn, err := net.ListenPacket("udp4", s.Peer)
	if err != nil {
		return nil, &Error{Op: "listen peer", Kind: Address, Err: err}
	}
	dial := conns.DialFrom(net.ParseIP(s.Source))
	transport := newTransport(dial)
	client := &http.Client{Transport: transport}
	d.store = platform.NewStore(s.Store, transport.Single().Do)
	d.watcher = watch.New(watch.Options{
		Store: d.store, Do: client.Do, Relays: d.storeRelays, Index: d.indexDaemon, Boot: clock.Boot, Log: o.Log,
		Pause: func() time.Duration { return d.settings().watchPause() },
		Quick: func() bool { return d.keeper.IsKeeper() }, Others: d.othersReachStore,
	})
	d.gossip = gossip.New(gossip.Options{
		Self: d.self, Conn: conn, Boot: clock.Boot, Log: o.Log, Report: d.gossipMessage, Receive: func(gossip.Message) {},
		Listed: func() map[string]site.Daemon { return d.watcher.Snapshot().Daemons }, Fresh: d.fresh,
	})
	d.placer = pick.New(pick.Options{
		Domain: s.Domain, Boot: clock.Boot, Snapshot: d.watcher.Snapshot, Alive: d.gossip.Alive,
		Delay:  func() time.Duration { return d.gossip.Delay() + applyPeriod/2 },
		Budget: d.budget, Daemons: d.daemonCount, Listed: d.listedCount, Reached: func() bool { return d.reach.State() == reach.Sound },
		Late: d.pulse.Late, CutOff: d.cutOff, Peers: d.relayPeers, Random: rand.Float64, Log: o.Log,
	})
	d.registerMetrics(o.Registry)
	d.pool = conns.New(dial)
	d.reach = reach.New(reach.Options{
		Boot: clock.Boot, Late: d.pulse.Late, Endpoints: d.probedEndpoints, Silence: d.placer.Silence, Probe: d.probe, Others: d.otherPaths,
		Log: o.Log, Registry: o.Registry,
	})
	d.front = front.New(front.Options{
		Snapshot: d.watcher.Snapshot, SnapshotAge: d.watcher.Age, Placer: d.placer, Pool: d.pool, Reach: d.reach, Self: d.self.ID,
		MaxKeyAge: d.maxKeyAge, Basis: d.keyBasis,
		Hold: newBook(s, o.Registry), Crashes: d.crashes, Parts: d.parts, Metrics: front.NewMetrics(o.Registry), Log: o.Log,
	})
	d.keeper = groups.New(groups.Options{
		Self: d.self, Store: d.store, Engines: d.newEngines(transport), Watcher: d.watcher, Alive: d.gossip.Alive,
		Demand: d.demand, Leaving: d.placer.Leaving, Boot: clock.Boot, Late: d.pulse.Late, Reached: d.reach.Confirm, Failed: d.reach.Failed, CutOff: d.cutOff, Progresses: d.placer.Progresses, Log: o.Log, Metrics: groups.NewMetrics(o.Registry),
	})
	d.guide = guide.New(guide.Options{Self: d.self, Ready: d.ready, Offered: d.offersItself, Peers: d.peers, Registry: o.Registry})
	return d, nil
}

// newTransport returns the transport to the store and to engines. It keeps
// few idle connections, and those only for a short time, since a connection may stop
// passing data without being closed.
func newTransport(dial conns.Dialer) *reply.Transport {
	return reply.NewTransport(&http.Transport{
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     4 * time.Second,
		DisableCompression:  true,
		ReadBufferSize:      4 << 10,
		WriteBufferSize:     2 << 10,
	})
}

// limits returns the limits on what callers may send, as currently configured.
func (d *Daemon) limits() site.Limits {
	if c := d.watcher.Snapshot().Config; c != nil {
		return c.Limits
	}
	return site.Limits{}
}

// demand returns the demand that this daemon reports.
func (d *Daemon) demand() map[string]int {
	return d.placer.Report().Demand
}

// gossipMessage returns the message that is sent to the other daemons.
func (d *Daemon) gossipMessage() gossip.Message {
	m := d.placer.Report()
	m.Groups, m.Term = d.keeper.Announcement()
	m.Traffic = d.keeper.HadTraffic()
	m.Ready = d.ready()
	m.Fresh = d.fresh()
	m.Cut = d.cutOff()
	m.Rewound = d.watcher.Rewound()
	m.Blind = d.reach.Blind()
	m.Revision = d.watcher.Snapshot().Revision
	if c := d.watcher.Snapshot().Config; c != nil {
		m.Version = c.Version
	}
	m.Crashes = d.crashes.Counts()
	m.Parts = d.parts.Counts()
	return m
}

// applyPeriod is the time between two calls of applyGossip's work.
const applyPeriod = 100 * time.Millisecond

// applyGossip passes the messages of the other daemons to the placer and their crash
// counts to crashes.
func (d *Daemon) applyGossip(ctx context.Context) error {
	for clock.Beat(ctx, applyPeriod) {
		alive := d.gossip.Alive()
		d.catchUp.update(d.watcher.Snapshot(), alive, clock.Boot())
		ownGroups, _ := d.keeper.Announcement()
		d.placer.Update(alive, ownGroups)
		crashCounts := map[string]int{}
		for _, m := range alive {
			for digest, n := range m.Crashes {
				crashCounts[digest] += n
			}
		}
		d.crashes.SetRemote(crashCounts)
		d.parts.Update(d.knownParts(alive))
	}
	return nil
}

// sweepConns sweeps the connection pool until the context ends.
func (d *Daemon) sweepConns(ctx context.Context) error {
	for clock.Beat(ctx, sweepInterval) {
		d.pool.Sweep()
	}
	return nil
}

// Run serves until the context ends, then shuts down within the grace period: requests
// in progress are answered, and only streams that outlast it are cut off.
func (d *Daemon) Run(ctx context.Context) error {
	s := d.options.Settings
	d.options.Log.Info("daemon starts", "self", d.self.ID, "domain", s.Domain, "caller", s.Caller, "build", d.options.Build)
	partsCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, partsCtx := errgroup.WithContext(partsCtx)
	side := callerSide{server: &http.Server{Handler: d.front}, conns: front.NewCallers(d.limits), active: d.front.Active}
	side.conns.Attach(side.server)
	for _, server := range d.servers(side.server) {
		listener, err := net.Listen("tcp4", server.address)
		if err != nil {
			return &Error{Op: "listen " + server.name, Kind: Address, Err: err}
		}
		switch server.name {
		case callerName:
			side.listener = listener
		case peerName:
			side.peer = server.server
		}
		group.Go(func() error { return server.run(partsCtx, listener) })
	}
	for _, run := range []func(context.Context) error{d.watcher.Run, d.gossip.Run, d.keeper.Run, d.pulse.Run, d.reach.Run, d.applyGossip, d.sweepConns, d.recordParts, d.settle} {
		group.Go(func() error { return partError(partsCtx, run(partsCtx)) })
	}
	reg := &registration{instance: s.ID, self: d.self, store: d.store, log: d.options.Log, removeTimeout: d.removeTimeout}
	recordCtx, endRecord := context.WithCancel(partsCtx)
	group.Go(func() error { return reg.run(recordCtx) })
	group.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
			d.leave(partsCtx, side, endRecord)
		case <-partsCtx.Done():
		}
		return nil
	})
	err := group.Wait()
	d.options.Log.Info("daemon stops", "self", d.self.ID)
	return err
}

// partError returns nil if the context has ended or err is nil, and otherwise an error
// of kind Part.
func partError(ctx context.Context, err error) error {
	if err == nil || ctx.Err() != nil {
		return nil
	}
	return &Error{Op: "run", Kind: Part, Err: err}
}
