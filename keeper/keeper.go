package keeper

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"clementinehead.example/chead/audit"
	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/store"
	"clementinehead.example/chead/view"
	"clementinehead.example/chead/wire"
)

const (
	period           = time.Second            // between rounds
	probeTimeout     = 900 * time.Millisecond // of one probe
	orderTimeout     = 2 * time.Second        // of one order
	longestOrder     = 3 * time.Second        // after it was sent, an order has been taken or is lost
	storeTimeout     = 2 * time.Second        // of one call of the key-value service
	releaseLimit     = time.Second            // for giving the lease back at the end
	probesAtOnce     = 64                     // of one fabric domain
	listInterval     = 2 * time.Second        // between reads of the platform's list
	discoverInterval = 10 * time.Second       // between looks for new fabric domains
)

// Options are what a Keeper depends on.
type Options struct {
	Self     string // id of this daemon
	Domain   string // its failure domain
	Region   string
	Store    *store.Client
	View     func() *view.View
	Learn    func(store.Entry) bool // tells the daemon's own picture of a write
	Daemons  func() []*wire.Daemon
	Probe    func(ctx context.Context, address string) (engine.Report, error)
	Order    func(ctx context.Context, address string, order engine.Order) (engine.Report, error)
	Audit    func(audit.Entry)
	Log      logr.Logger
	Registry prometheus.Registerer
	Rand     *rand.Rand
	Policy   fleet.Policy // the zero value stands for fleet.Default
}

// Keeper keeps the fabric domains that fall to this daemon.
type Keeper struct {
	o       Options
	lease   *lease
	list    *list
	meter   *meter
	elect   *election
	group   sync.WaitGroup
	mu      sync.Mutex
	tenures map[string]*tenure
}

// New returns a Keeper. It does nothing before Run.
func New(o Options) *Keeper {
	if o.Policy == (fleet.Policy{}) {
		o.Policy = fleet.Default()
	}
	return &Keeper{
		o:       o,
		lease:   &lease{store: o.Store},
		list:    &list{store: o.Store},
		meter:   newMeter(o.Registry),
		elect:   newElection(o.Rand),
		tenures: map[string]*tenure{},
	}
}

// Run keeps fabric domains until the context ends, and then gives up the
// lease, so that another daemon can take over at once. It returns when all
// that it started has ended.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		k.turn(ctx)
		select {
		case <-ctx.Done():
			k.stopAll()
			k.release(ctx)
			return nil
		case <-ticker.C:
		}
	}
}

// turn renews the lease, ends what has to end and tries for what is due.
func (k *Keeper) turn(ctx context.Context) {
	if k.leaving() {
		k.stopAll()
		k.release(ctx)
		return
	}
	if k.lease.renew(ctx, k.held() > 0) == lapsed {
		k.stopAll()
	}
	k.discover(ctx)
	k.contend(ctx)
}

func (k *Keeper) held() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.tenures)
}

// begin starts to keep a fabric domain.
func (k *Keeper) begin(ctx context.Context, fabric string) {
	ctx, cancel := context.WithCancel(ctx)
	t := newTenure(k, fabric, cancel)
	k.mu.Lock()
	k.tenures[fabric] = t
	k.mu.Unlock()
	k.group.Go(func() {
		defer k.end(t)
		t.run(ctx)
	})
}

// end forgets a tenure that has ended by itself or was stopped.
func (k *Keeper) end(t *tenure) {
	t.cancel()
	k.meter.forget(t.fabric)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.tenures[t.fabric] == t {
		delete(k.tenures, t.fabric)
	}
}

// stopAll ends all tenures and waits for them.
func (k *Keeper) stopAll() {
	k.mu.Lock()
	for _, t := range k.tenures {
		t.cancel()
	}
	k.mu.Unlock()
	k.group.Wait()
}

func (k *Keeper) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseLimit)
	defer cancel()
	k.lease.release(ctx)
}

// leaving reports whether this daemon is on its way out.
func (k *Keeper) leaving() bool {
	return slices.ContainsFunc(k.o.Daemons(), func(d *wire.Daemon) bool {
		return d.GetId() == k.o.Self && d.GetStanding() == wire.Standing_STANDING_LEAVING
	})
}

// daemons returns the roster as package fleet takes it.
func (k *Keeper) daemons() []fleet.Daemon { return fleet.Daemons(k.o.Daemons()) }

// self returns this daemon as the roster has it, and one that is not alive
// where the roster doesn't.
func (k *Keeper) self(daemons []fleet.Daemon) fleet.Daemon {
	for _, d := range daemons {
		if d.ID == k.o.Self {
			return d
		}
	}
	return fleet.Daemon{ID: k.o.Self}
}

// current returns the tenures, by fabric domain.
func (k *Keeper) current() []*tenure {
	k.mu.Lock()
	defer k.mu.Unlock()
	var tenures []*tenure
	for _, name := range slices.Sorted(maps.Keys(k.tenures)) {
		tenures = append(tenures, k.tenures[name])
	}
	return tenures
}
