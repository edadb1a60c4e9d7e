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
	roundInterval      = time.Second            // between rounds
	probeTimeout       = 900 * time.Millisecond // of one probe
	orderTimeout       = 2 * time.Second        // of one order
	maxOrderDelay      = 3 * time.Second        // after this time an order that was sent has arrived or is lost
	storeTimeout       = 2 * time.Second        // of one call of the key-value service
	releaseTimeout     = time.Second            // for revoking the lease when the daemon stops
	maxConcurrentCalls = 64                     // probes or orders at once, per fabric domain
	listInterval       = 2 * time.Second        // between reads of the platform's list of instances
	discoverInterval   = 10 * time.Second       // between searches for new fabric domains
)

// Options are the settings and dependencies of a Keeper.
type Options struct {
	Self     string // ID of this daemon
	Domain   string // this daemon's failure domain
	Region   string
	Store    *store.Client
	View     func() *view.View
	Apply    func(store.Entry) bool // adds a written entry to the daemon's own view
	Daemons  func() []*wire.Daemon
	Probe    func(ctx context.Context, address string) (engine.Report, error)
	Order    func(ctx context.Context, address string, order engine.Order) (engine.Report, error)
	Audit    func(audit.Entry)
	Log      logr.Logger
	Registry prometheus.Registerer
	Rand     *rand.Rand
	Policy   fleet.Policy // the zero value means fleet.Default
}

// Keeper runs the terms of the fabric domains that this daemon keeps, and tries to
// become keeper of those that have none.
type Keeper struct {
	options  Options
	lease    *lease
	list     *instanceList
	metrics  *metrics
	election *election
	running  sync.WaitGroup   // the terms' goroutines
	mu       sync.Mutex       // guards terms
	terms    map[string]*term // running terms, by fabric domain
}

// New returns a Keeper, which does nothing before Run.
func New(options Options) *Keeper {
	if options.Policy == (fleet.Policy{}) {
		options.Policy = fleet.Default()
	}
	return &Keeper{
		options:  options,
		lease:    &lease{store: options.Store},
		list:     &instanceList{store: options.Store},
		metrics:  newMetrics(options.Registry),
		election: newElection(options.Rand),
		terms:    map[string]*term{},
	}
}

// Run keeps fabric domains until ctx ends, and then revokes the lease, so that
// another daemon can take over at once. It returns when all goroutines that it
// started have ended.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		k.tick(ctx)
		select {
		case <-ctx.Done():
			k.stopAll()
			k.release(ctx)
			return nil
		case <-ticker.C:
		}
	}
}

// tick renews the lease, discovers new fabric domains and makes the attempts to
// become keeper that are due. It stops all terms if the lease has lapsed or the
// daemon is leaving.
func (k *Keeper) tick(ctx context.Context) {
	if k.leaving() {
		k.stopAll()
		k.release(ctx)
		return
	}
	if k.lease.renew(ctx, k.termCount() > 0) == lapsed {
		k.stopAll()
	}
	k.discover(ctx)
	k.contend(ctx)
}

// termCount returns the number of running terms.
func (k *Keeper) termCount() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.terms)
}

// startTerm starts a term as the keeper of a fabric domain.
func (k *Keeper) startTerm(ctx context.Context, fabric string) {
	ctx, cancel := context.WithCancel(ctx)
	t := newTerm(k, fabric, cancel)
	k.mu.Lock()
	k.terms[fabric] = t
	k.mu.Unlock()
	k.running.Go(func() {
		defer k.endTerm(t)
		t.run(ctx)
	})
}

// endTerm removes a term whose loop has returned.
func (k *Keeper) endTerm(t *term) {
	t.cancel()
	k.metrics.forget(t.fabric)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.terms[t.fabric] == t {
		delete(k.terms, t.fabric)
	}
}

// stopAll stops all terms and waits for them.
func (k *Keeper) stopAll() {
	k.mu.Lock()
	for _, t := range k.terms {
		t.cancel()
	}
	k.mu.Unlock()
	k.running.Wait()
}

// release revokes the lease, also if ctx has ended.
func (k *Keeper) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	k.lease.release(ctx)
}

// leaving reports whether the roster lists this daemon as leaving.
func (k *Keeper) leaving() bool {
	return slices.ContainsFunc(k.options.Daemons(), func(d *wire.Daemon) bool {
		return d.GetId() == k.options.Self && d.GetStanding() == wire.Standing_STANDING_LEAVING
	})
}

// daemons returns the roster in the form that package fleet uses.
func (k *Keeper) daemons() []fleet.Daemon { return fleet.Daemons(k.options.Daemons()) }

// self returns this daemon's entry in the roster. If it has none, self returns an
// entry that is not alive.
func (k *Keeper) self(daemons []fleet.Daemon) fleet.Daemon {
	for _, d := range daemons {
		if d.ID == k.options.Self {
			return d
		}
	}
	return fleet.Daemon{ID: k.options.Self}
}

// sortedTerms returns the running terms, sorted by fabric domain.
func (k *Keeper) sortedTerms() []*term {
	k.mu.Lock()
	defer k.mu.Unlock()
	var terms []*term
	for _, name := range slices.Sorted(maps.Keys(k.terms)) {
		terms = append(terms, k.terms[name])
	}
	return terms
}
