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

// prefixes are the key prefixes of the documents that daemons share.
var prefixes = []string{fleet.ConfKey, fleet.KeyPrefix}

// Options configures a Relay.
type Options struct {
	Self     string   // id of this daemon
	Domain   string   // its failure domain
	Seeds    []string // peer addresses to fetch from while no other daemon is known
	Store    *store.Client
	Daemons  func() []*wire.Daemon                 // returns the roster
	Client   func(address string) wire.RelayClient // returns a client of the daemon at a peer address
	Log      logr.Logger
	Registry prometheus.Registerer
	Rand     *rand.Rand
}

// Relay holds the shared documents of one daemon and distributes them. It is
// safe for concurrent use.
type Relay struct {
	options    Options
	metrics    *metrics
	offers     chan offer  // waiting to be sent
	fetchQueue chan string // addresses of peers that may hold newer documents

	mu        sync.Mutex
	documents *documents
	inForce   map[string]uint64 // revision that the view was made from, by key
	view      *view.View
	changed   chan struct{}              // closed at the next change of the view
	ready     bool                       // see Ready
	verified  map[string]time.Time       // latest time at which the documents were as new as the store, by prefix
	pending   map[string]pendingDelivery // requested deliveries, by key
	random    *rand.Rand
}

// New returns a Relay without any document.
func New(options Options) *Relay {
	empty, _ := view.New(nil) // New cannot fail without entries
	return &Relay{
		options:    options,
		metrics:    newMetrics(options.Registry),
		offers:     make(chan offer, maxQueuedOffers),
		fetchQueue: make(chan string, 1),
		documents:  newDocuments(),
		inForce:    map[string]uint64{},
		view:       empty,
		changed:    make(chan struct{}),
		verified:   map[string]time.Time{},
		pending:    map[string]pendingDelivery{},
		random:     options.Rand,
	}
}

// Run loads the documents and then watches the store, sends offers and fetches
// from peers until the context ends. It then returns nil.
func (r *Relay) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.pushOffers(ctx) })
	group.Go(func() error { return r.fetchQueued(ctx) })
	group.Go(func() error {
		if !r.loadDocuments(ctx) {
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

// View returns the view made from the newest readable documents. It is never
// nil.
func (r *Relay) View() *view.View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view
}

// Get returns the newest known entry of a key, and whether there is one that is
// not deleted.
func (r *Relay) Get(key string) (store.Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, ok := r.documents.entries[key]
	return entry, ok && !entry.Deleted
}

// Apply applies an entry and reports whether it was newer than the known one. If
// so, the view has been updated on return and the entry is queued to be offered
// to peers.
func (r *Relay) Apply(entry store.Entry) bool {
	return r.apply("local", 0, entry)
}

// Changed returns a channel that is closed at the next change of the view.
func (r *Relay) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Versions returns the versions of all documents held, sorted by key.
func (r *Relay) Versions() []*wire.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.documents.versions()
}

// Ready reports whether the store, or a peer that was itself ready, has answered
// since the start. Until then the view may lack documents.
func (r *Relay) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready
}

// VerifiedAt returns the time as of which the documents are verified: at that
// time all of them were as new as the store's, according to the store itself or
// to a ready peer. The zero time means never.
func (r *Relay) VerifiedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.verifiedAt()
}

// verifiedAt returns the earliest verification of all prefixes. The caller holds
// mu.
func (r *Relay) verifiedAt() time.Time {
	earliest := r.verified[prefixes[0]]
	for _, prefix := range prefixes[1:] {
		if at := r.verified[prefix]; at.Before(earliest) {
			earliest = at
		}
	}
	return earliest
}

// markVerified records that the documents under the prefixes were as new as the
// store's at a time. The caller holds mu.
func (r *Relay) markVerified(at time.Time, prefixes ...string) {
	for _, prefix := range prefixes {
		if at.After(r.verified[prefix]) {
			r.verified[prefix] = at
		}
	}
}

// apply stores the entries that are newer than the known ones, updates the view
// from them and queues them to be offered to peers. It reports whether there
// were any. source is a label of the metric of applied revisions, and hops
// counts the forwarding steps of the entries so far.
func (r *Relay) apply(source string, hops uint32, entries ...store.Entry) bool {
	r.mu.Lock()
	newer := r.storeNewer(entries)
	if len(newer) > 0 {
		r.updateView(newer)
	}
	r.mu.Unlock()
	if len(newer) == 0 {
		return false
	}
	r.metrics.updates.WithLabelValues(source).Add(float64(len(newer)))
	r.queueOffer(offer{entries: newer, hops: hops})
	return true
}

// storeNewer stores the entries that are newer than the known ones and returns
// them. The caller holds mu.
func (r *Relay) storeNewer(entries []store.Entry) []store.Entry {
	var newer []store.Entry
	for _, entry := range entries {
		if shared(entry.Key) && r.documents.put(entry) {
			newer = append(newer, entry)
			delete(r.pending, entry.Key)
		}
	}
	return newer
}

// updateView updates the view from newer entries. An entry that can't be read is
// still offered to peers, but the last readable revision of it stays in force.
// The caller holds mu.
func (r *Relay) updateView(newer []store.Entry) {
	before := r.view.Serial
	for _, entry := range newer {
		next, err := r.view.With(entry)
		if err != nil {
			r.metrics.unreadable.Inc()
			r.options.Log.Error(&Error{Op: "read", Kind: Unreadable, Err: err}, "document is unreadable, the last readable revision stays in force")
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
