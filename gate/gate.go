package gate

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/view"
	"clementinehead.example/chead/wire"
)

// Options are the inputs and dependencies of a Gate.
type Options struct {
	Self       string // id of this daemon
	Boot       uint64 // start of this process, Unix nanoseconds
	View       func() *view.View
	Changed    func() <-chan struct{} // returns a channel that is closed at the view's next change
	Daemons    func() []*wire.Daemon  // the roster, this daemon included
	VerifiedAt func() time.Time       // when the store last confirmed, to this daemon or a peer, that the view is current
	Probe      func(ctx context.Context, address string) (engine.Report, error)
	Feed       func(ctx context.Context, address string, after uint64) (engine.Feed, error)
	Client     func(address string) wire.GateClient
	Log        logr.Logger
	Registry   prometheus.Registerer // nil for no metrics
	Rand       *rand.Rand
}

// Gate gives the permits of all replicas whose named or interim gate is this
// daemon. It serves the Gate service of package wire and is safe for concurrent
// use.
type Gate struct {
	options     Options
	metrics     metrics
	crashSignal chan struct{} // holds a value while crash reports wait to be sent to peers
	mu          sync.Mutex
	gates       map[string]*replicaGate // by replica
	crashes     *CrashRecord
	quorum      quorum
	rateShares  rateShares

	handovers sync.WaitGroup
}

// Status is the state of one replica at its gate.
type Status struct {
	Replica     string `json:"replica"`
	BlockReason string `json:"bar"` // why it gives no permits, "Open" when it gives them
	Fence       uint64 `json:"fence"`
	Interim     bool   `json:"interim"` // this daemon substitutes for the named gate, which is dead
	Reduced     bool   `json:"weak"`    // only half of the limit is used
	Limit       int    `json:"limit"`   // requests that may be in progress
	Load        int    `json:"load"`    // requests in progress, those with lost permits included
	Lost        int    `json:"lost"`    // of these, with permits that nobody will release
	Queued      int    `json:"queued"`  // requests waiting for a permit
	Done        uint64 `json:"done"`    // requests completed since the endpoint started or turned cold
}

// tickEvery is the time between updates when the view doesn't change.
const tickEvery = 200 * time.Millisecond

// New returns a Gate that gives no permits until Run is called.
func New(options Options) *Gate {
	return &Gate{
		options:     options,
		metrics:     newMetrics(options.Registry),
		crashSignal: make(chan struct{}, 1),
		gates:       map[string]*replicaGate{},
		crashes:     NewCrashRecord(),
	}
}

// Run follows the view until the context ends. Then it refuses all waiting
// requests and gives no more permits.
func (g *Gate) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.followView(ctx, group) })
	group.Go(func() error { return g.crashReportLoop(ctx) })
	err := group.Wait()
	g.stop()
	g.handovers.Wait()
	return err
}

// followView calls refresh whenever the view changes, and every tickEvery.
func (g *Gate) followView(ctx context.Context, group *errgroup.Group) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		changed := g.options.Changed()
		g.refresh(ctx, group)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-ticker.C:
		}
	}
}

// refresh opens, updates and closes the gates of replicas to match the view,
// the roster and the time.
func (g *Gate) refresh(ctx context.Context, group *errgroup.Group) {
	now := time.Now()
	verifiedAt := g.options.VerifiedAt() // before the view that it speaks of, which may be replaced in between
	v := g.options.View()
	daemons := g.options.Daemons()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quorum.update(now, g.options.Self, daemons, verifiedAt)
	g.rateShares.update(v)
	g.openGates(v, now)
	for id, r := range g.gates {
		location, ok := v.Locate(id)
		if !ok {
			g.closeGate(r, nil)
			continue
		}
		setup := g.setup(v, location, r)
		g.deliver(r, r.core.Set(now, setup))
		if !setup.Named && !setup.Interim {
			g.closeGate(r, g.successor(location.Replica.Gate, daemons))
			continue
		}
		g.deliver(r, r.core.Daemons(now, g.quorum.find))
		g.deliver(r, r.core.Tick(now))
		g.startProbers(ctx, group, r)
		g.reportStatus(r, now)
	}
	g.signalCrashes()
}

// openGates opens a gate for each replica whose record names this daemon as its
// gate, or for whose dead gate this daemon has to substitute.
func (g *Gate) openGates(v *view.View, now time.Time) {
	for _, fabric := range v.Fabrics {
		for _, replica := range fabric.Replicas {
			if g.gates[replica.ID] != nil {
				continue
			}
			named := replica.Gate == g.options.Self
			if named || g.quorum.isSubstitute(now, replica, fabric.Domain, v.Document) {
				g.gates[replica.ID] = newReplicaGate(replica.ID, !named, g.idBase(), g.crashes)
			}
		}
	}
}

// idBase returns a random number from which the permit ids of one replicaGate
// count up, so that ids differ between gates, daemons and boots.
func (g *Gate) idBase() uint64 {
	return g.options.Rand.Uint64() &^ (1<<idBits - 1)
}

// idBits is the number of low bits in a permit id for the permits of one
// replicaGate.
const idBits = 24

// setup returns the input of a replica's Core. It also ends the interim role of
// this daemon once the named gate is this daemon or no longer dead.
func (g *Gate) setup(v *view.View, location view.Location, r *replicaGate) Setup {
	named := location.Replica.Gate == g.options.Self
	r.interim = r.interim && !named && g.quorum.dead(location.Replica.Gate)
	return Setup{
		Replica:    location.Replica,
		VerifiedAt: g.quorum.verifiedAt,
		Serving:    location.Replica.State == chart.Serving,
		TakenOut:   takenOut(v, location),
		Named:      named,
		Interim:    r.interim,
		Reduced:    g.quorum.reduced,
		Ramp:       v.Document.Capacity.Ramp,
		Limits:     v.Document.Limits,
		Accounts:   v.Document.Accounts,
		RateShares: g.rateShares.shares,
	}
}

// takenOut reports whether the replica's failure domain or one of its members
// is out of service.
func takenOut(v *view.View, location view.Location) bool {
	for _, member := range location.Replica.Members {
		if !v.InService(location.Domain, member.Instance) {
			return true
		}
	}
	return v.Document.Domains[location.Domain].Out
}

// Status returns the state of all replicas whose named or interim gate is this
// daemon, sorted by replica.
func (g *Gate) Status() []Status {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]Status, 0, len(g.gates))
	for _, r := range g.gates {
		all = append(all, r.core.Status(now))
	}
	sortStatus(all)
	return all
}

// stop closes all gates, which refuses all waiting requests.
func (g *Gate) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.gates {
		g.closeGate(r, nil)
	}
}
