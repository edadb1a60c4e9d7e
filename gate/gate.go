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

// Options are what a Gate depends on.
type Options struct {
	Self      string // id of this daemon
	Boot      uint64 // its boot, Unix nanoseconds
	View      func() *view.View
	Changed   func() <-chan struct{} // closed at the view's next change
	Daemons   func() []*wire.Daemon  // the roster, this daemon included
	Confirmed func() time.Time       // when the store last vouched for the view
	Probe     func(ctx context.Context, address string) (engine.Report, error)
	Feed      func(ctx context.Context, address string, after uint64) (engine.Feed, error)
	Client    func(address string) wire.GateClient
	Log       logr.Logger
	Registry  prometheus.Registerer // nil for none
	Rand      *rand.Rand
}

// Gate gives the permits of all replicas that name this daemon. It serves the
// Gate service of package wire and is safe for concurrent use.
type Gate struct {
	options  Options
	metrics  metrics
	news     chan struct{} // holds a token while peers have to hear of strikes
	mu       sync.Mutex
	posts    map[string]*post // by replica
	book     *Book
	standing standing
	parts    parts

	handovers sync.WaitGroup
}

// Status is the state of one replica at its gate.
type Status struct {
	Replica string `json:"replica"`
	Bar     string `json:"bar"` // what keeps it from giving permits, "Open" for nothing
	Fence   uint64 `json:"fence"`
	Interim bool   `json:"interim"`
	Weak    bool   `json:"weak"`
	Limit   int    `json:"limit"`
	Load    int    `json:"load"`   // requests in progress, lost ones included
	Lost    int    `json:"lost"`   // of these, with permits that nobody will release
	Queued  int    `json:"queued"` // requests waiting
	Done    uint64 `json:"done"`   // completed since the endpoint started or turned cold
}

// tickEvery is the time between looks at the clock and the roster.
const tickEvery = 200 * time.Millisecond

// New returns a Gate that gives no permit before Run.
func New(options Options) *Gate {
	return &Gate{
		options: options,
		metrics: newMetrics(options.Registry),
		news:    make(chan struct{}, 1),
		posts:   map[string]*post{},
		book:    NewBook(),
	}
}

// Run follows the view until the context ends. Then all that wait are refused
// and no permit is given any more.
func (g *Gate) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.follow(ctx, group) })
	group.Go(func() error { return g.spread(ctx) })
	err := group.Wait()
	g.stop()
	g.handovers.Wait()
	return err
}

// follow looks at the view and the roster whenever they may have changed.
func (g *Gate) follow(ctx context.Context, group *errgroup.Group) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		changed := g.options.Changed()
		g.look(ctx, group)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-ticker.C:
		}
	}
}

// look brings the posts in line with the view and lets time pass for them.
func (g *Gate) look(ctx context.Context, group *errgroup.Group) {
	now := time.Now()
	v := g.options.View()
	daemons := g.options.Daemons()
	confirmed := g.options.Confirmed()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.standing.update(now, g.options.Self, daemons, confirmed)
	g.parts.update(v)
	g.open(v, now)
	for id, p := range g.posts {
		place, ok := v.Place(id)
		if !ok {
			g.close(p, nil)
			continue
		}
		setup := g.setup(v, place, p)
		g.deliver(p, p.core.Set(now, setup))
		if !setup.Named && !setup.Interim {
			g.close(p, g.successor(place.Replica.Gate, daemons))
			continue
		}
		g.deliver(p, p.core.Daemons(now, g.standing.find))
		g.deliver(p, p.core.Tick(now))
		g.watch(ctx, group, p)
		g.report(p, now)
	}
	g.announce()
}

// open makes posts for the replicas that name this daemon, or whose gate it
// has to stand in for.
func (g *Gate) open(v *view.View, now time.Time) {
	for _, fabric := range v.Fabrics {
		for _, replica := range fabric.Replicas {
			if g.posts[replica.ID] != nil {
				continue
			}
			named := replica.Gate == g.options.Self
			if named || g.standing.standsIn(now, replica, fabric.Domain, v.Document) {
				g.posts[replica.ID] = newPost(replica.ID, !named, g.idBase(), g.book)
			}
		}
	}
}

// idBase returns a number from which permit ids are counted, different for
// each post, daemon and boot.
func (g *Gate) idBase() uint64 {
	return g.options.Rand.Uint64() &^ (1<<idBits - 1)
}

// idBits is the room for the permits of one post.
const idBits = 24

// setup returns what the core of a post has to know.
func (g *Gate) setup(v *view.View, place view.Place, p *post) Setup {
	named := place.Replica.Gate == g.options.Self
	p.interim = p.interim && !named && g.standing.dead(place.Replica.Gate)
	return Setup{
		Replica:   place.Replica,
		Confirmed: g.standing.confirmed,
		Serving:   place.Replica.State == chart.Serving,
		TakenOut:  takenOut(v, place),
		Named:     named,
		Interim:   p.interim,
		Weak:      g.standing.weak,
		Ramp:      v.Document.Capacity.Ramp,
		Limits:    v.Document.Limits,
		Accounts:  v.Document.Accounts,
		Parts:     g.parts.parts,
	}
}

func takenOut(v *view.View, place view.Place) bool {
	for _, member := range place.Replica.Members {
		if !v.InService(place.Domain, member.Instance) {
			return true
		}
	}
	return v.Document.Domains[place.Domain].Out
}

// Status returns the state of all replicas that this daemon is the gate of.
func (g *Gate) Status() []Status {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]Status, 0, len(g.posts))
	for _, p := range g.posts {
		all = append(all, p.core.Status(now))
	}
	sortStatus(all)
	return all
}

// stop refuses all that wait.
func (g *Gate) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.posts {
		g.close(p, nil)
	}
}
