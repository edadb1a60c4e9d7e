package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/store"
	"clementinehead.example/chead/view"
	"clementinehead.example/chead/wire"
)

// prefixes begin the keys of the documents that are spread.
var prefixes = []string{fleet.Conf, fleet.Prefix}

// Options are what a Relay depends on.
type Options struct {
	Self     string   // id of this daemon
	Domain   string   // its failure domain
	Seeds    []string // peer addresses to ask while no daemon is known
	Store    *store.Client
	Daemons  func() []*wire.Daemon                 // the roster
	Client   func(address string) wire.RelayClient // by peer address
	Log      logr.Logger
	Registry prometheus.Registerer
	Rand     *rand.Rand
}

// Relay keeps and spreads documents. It is safe for concurrent use.
type Relay struct {
	options Options
	metrics *metrics
	offers  chan offer  // to be pushed on
	behind  chan string // addresses of peers that hold newer documents

	mu        sync.Mutex
	documents *documents
	inForce   map[string]uint64 // by key: the revision that the view is made of
	view      *view.View
	changed   chan struct{}
	ready     bool
	vouched   map[string]time.Time // by prefix: until when the store vouched
	awaited   map[string]awaited   // by key
	random    *rand.Rand
}

// New returns a relay that knows no document.
func New(options Options) *Relay {
	empty, _ := view.New(nil) // of nothing there is nothing to fail
	return &Relay{
		options:   options,
		metrics:   newMetrics(options.Registry),
		offers:    make(chan offer, backlog),
		behind:    make(chan string, 1),
		documents: newDocuments(),
		inForce:   map[string]uint64{},
		view:      empty,
		changed:   make(chan struct{}),
		vouched:   map[string]time.Time{},
		awaited:   map[string]awaited{},
		random:    options.Rand,
	}
}

// Run gets the documents, then watches, pushes and fetches until the context
// ends. It returns nil then.
func (r *Relay) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.pushOffers(ctx) })
	group.Go(func() error { return r.fetchBehind(ctx) })
	group.Go(func() error {
		if !r.start(ctx) {
			return nil
		}
		var watches errgroup.Group
		for _, prefix := range prefixes {
			watches.Go(func() error { return r.watch(ctx, prefix) })
		}
		return watches.Wait()
	})
	return group.Wait()
}

// View returns the picture made of the newest documents. It is never nil.
func (r *Relay) View() *view.View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view
}

// Get returns the newest known entry of a key.
func (r *Relay) Get(key string) (store.Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, ok := r.documents.entries[key]
	return entry, ok && !entry.Deleted
}

// Learn takes in an entry and reports whether it was newer than the one known.
// Where it was, the view has changed on return and peers are offered it.
func (r *Relay) Learn(entry store.Entry) bool {
	return r.learn("local", 0, entry)
}

// Changed returns a channel that is closed at the next change of the view.
func (r *Relay) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Versions returns the versions of all documents held, by key.
func (r *Relay) Versions() []*wire.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.documents.versions()
}

// Ready reports whether the store, or a peer that was ready, has answered
// since the start. Before, the view may lack documents.
func (r *Relay) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready
}

// Confirmed returns the last moment at which the view was vouched for: at that
// time it was as new as the store's documents, by an answer of the store
// itself or by way of peers. The zero time stands for never.
func (r *Relay) Confirmed() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmed()
}

func (r *Relay) confirmed() time.Time {
	earliest := r.vouched[prefixes[0]]
	for _, prefix := range prefixes[1:] {
		if at := r.vouched[prefix]; at.Before(earliest) {
			earliest = at
		}
	}
	return earliest
}

// vouch notes that the documents under the prefixes were as new as the
// store's at a moment. The caller holds the lock.
func (r *Relay) vouch(at time.Time, prefixes ...string) {
	for _, prefix := range prefixes {
		if at.After(r.vouched[prefix]) {
			r.vouched[prefix] = at
		}
	}
}

// learn takes in entries, renews the view where one of them was newer, and
// has the newer ones pushed on. Hops is how often they were passed on before.
func (r *Relay) learn(source string, hops uint32, entries ...store.Entry) bool {
	r.mu.Lock()
	fresh := r.keep(entries)
	if len(fresh) > 0 {
		r.renew(fresh)
	}
	r.mu.Unlock()
	if len(fresh) == 0 {
		return false
	}
	r.metrics.learned.WithLabelValues(source).Add(float64(len(fresh)))
	r.pushLater(offer{entries: fresh, hops: hops})
	return true
}

func (r *Relay) keep(entries []store.Entry) []store.Entry {
	var fresh []store.Entry
	for _, entry := range entries {
		if spread(entry.Key) && r.documents.put(entry) {
			fresh = append(fresh, entry)
			delete(r.awaited, entry.Key)
		}
	}
	return fresh
}

// renew makes the view that follows from fresh entries. One that can't be read
// is passed on, but the last one that could be read stays in force.
func (r *Relay) renew(fresh []store.Entry) {
	before := r.view.Serial
	for _, entry := range fresh {
		next, err := r.view.With(entry)
		if err != nil {
			r.metrics.unreadable.Inc()
			r.options.Log.Error(&Error{Op: "read", Kind: Unreadable, Err: err}, "document passed over")
			continue
		}
		r.view = next
		r.inForce[entry.Key] = entry.Revision
	}
	close(r.changed)
	r.changed = make(chan struct{})
	r.metrics.revision.Set(float64(r.view.Revision))
	if r.view.Serial != before {
		r.options.Log.Info("configuration in force", "serial", r.view.Serial, "revision", r.view.Revision)
	}
}
