package tally

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"clementinehead.example/chead/store"
	"clementinehead.example/chead/wire"
)

// Intervals and limits for saving usage counts outside the daemon.
const (
	sendInterval  = 2 * time.Second  // between sends to a peer
	flushInterval = 60 * time.Second // between writes to the key-value service
	peerTimeout   = time.Second      // for one call to a peer
	storeTimeout  = 5 * time.Second  // for one call to the key-value service
	maxUnsaved    = 30 * time.Second // longest time that a daemon answers without saving its counts
)

// Options are the dependencies and settings of a Replicator.
type Options struct {
	Self     string
	Boot     uint64
	Domain   string // failure domain
	Tally    *Tally
	Store    *store.Client
	Daemons  func() []*wire.Daemon
	Client   func(address string) wire.TallyClient
	Log      logr.Logger
	Registry prometheus.Registerer
}

// Replicator replicates this daemon's usage counts to a peer and to the key-value
// service, and holds those of peers in memory. It implements the Tally service of
// package wire.
type Replicator struct {
	options Options
	metrics metrics

	mutex       sync.Mutex
	held        map[Boot]*heldUsage    // usage counts of peers
	holdingPeer string                 // id of the peer that holds this daemon's counts
	acked       uint64                 // sequence up to which that peer holds all counts
	lastSaved   time.Time              // when a peer or the store last accepted counts of this boot
	hours       map[string]*storedHour // state in the store, by store key
}

// NewReplicator returns a Replicator that sends and writes nothing before Run.
func NewReplicator(o Options) *Replicator {
	return &Replicator{
		options: o,
		metrics: newMetrics(o.Registry),
		held:    map[Boot]*heldUsage{},
		hours:   map[string]*storedHour{},
	}
}

// Saved reports whether counts of this boot were saved outside its process.
// Before that, the counts of requests answered here could be lost without a gap in
// the report, so a daemon isn't ready.
func (r *Replicator) Saved() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.lastSaved.IsZero()
}

// SavedRecently reports whether this daemon may go on answering: a peer or the store
// accepted its counts within maxUnsaved, or it knows of no peer. This bounds the
// gap in the report after the daemon is lost.
func (r *Replicator) SavedRecently() bool {
	if len(r.options.Daemons()) <= 1 {
		return true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Since(r.lastSaved) < maxUnsaved
}

// Run sends and writes usage counts until the context ends. Then it sends and
// writes the final counts, for which it takes at most twice storeTimeout.
func (r *Replicator) Run(ctx context.Context) error {
	r.flush(ctx)
	r.sendUsage(ctx)
	sends := time.NewTicker(sendInterval)
	defer sends.Stop()
	flushes := time.NewTicker(r.flushOffset())
	defer flushes.Stop()
	for {
		select {
		case <-ctx.Done():
			r.finish()
			return nil
		case <-sends.C:
			r.sendUsage(ctx)
			r.markEnded()
			r.copyEnded(ctx)
		case <-flushes.C:
			flushes.Reset(flushInterval)
			r.flush(ctx)
		}
	}
}

// flushOffset returns the delay before this daemon's first periodic write, which
// spreads the daemons' writes over the interval.
func (r *Replicator) flushOffset() time.Duration {
	offset := time.Duration(xxhash.Sum64String(r.options.Self) % uint64(flushInterval))
	return max(offset, time.Second)
}

func (r *Replicator) finish() {
	r.options.Tally.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*storeTimeout)
	defer cancel()
	r.sendUsage(ctx)
	r.flush(ctx)
	r.handOver(ctx)
}

// sendUsage sends the chosen peer the counts that changed since the sequence that
// it acknowledged. A peer with missing counts answers with a lower sequence and
// gets all counts the next time.
func (r *Replicator) sendUsage(ctx context.Context) {
	peer := r.choosePeer()
	if peer == nil {
		return
	}
	usage, err := r.options.Tally.Usage(r.ackedBy(peer.Id), time.Now())
	if err != nil {
		r.options.Log.Error(err, "usage counts not encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	response, err := r.options.Client(peer.PeerAddress).Hold(ctx, &wire.HoldRequest{Sheet: usage})
	if err != nil {
		r.metrics.failures.WithLabelValues("hold").Inc()
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.acked = response.Sequence
	if response.Sequence >= usage.Sequence {
		r.lastSaved = time.Now()
	}
}

// ackedBy returns the sequence that a peer acknowledged, 0 for a new peer.
func (r *Replicator) ackedBy(peer string) uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.holdingPeer != peer {
		r.holdingPeer = peer
		r.acked = 0
	}
	return r.acked
}

// choosePeer returns the live peer that is first in rendezvous order, in another
// failure domain if possible, or nil if there is no live peer.
func (r *Replicator) choosePeer() *wire.Daemon {
	var peers []*wire.Daemon
	for _, d := range r.options.Daemons() {
		if d.Id != r.options.Self && d.Standing == wire.Standing_STANDING_ALIVE {
			peers = append(peers, d)
		}
	}
	if len(peers) == 0 {
		return nil
	}
	return slices.MinFunc(peers, func(a, b *wire.Daemon) int {
		return cmp.Or(
			cmp.Compare(r.domainRank(a), r.domainRank(b)),
			cmp.Compare(r.score(a), r.score(b)),
			cmp.Compare(a.Id, b.Id),
		)
	})
}

func (r *Replicator) domainRank(d *wire.Daemon) int {
	if d.Domain == r.options.Domain {
		return 1
	}
	return 0
}

func (r *Replicator) score(d *wire.Daemon) uint64 {
	return xxhash.Sum64String(r.options.Self + "/" + d.Id)
}

// Hold stores the usage counts of a peer in memory. The response has the sequence
// up to which they are complete, 0 if the peer has to send all of them.
func (r *Replicator) Hold(_ context.Context, request *wire.HoldRequest) (*wire.HoldResponse, error) {
	usage := request.GetSheet()
	if usage == nil {
		return &wire.HoldResponse{}, nil
	}
	boot := Boot{Daemon: usage.Daemon, Boot: usage.Boot}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.held[boot]
	if !Follows(known.get(), usage) {
		return &wire.HoldResponse{}, nil
	}
	r.held[boot] = &heldUsage{usage: replaceOrMerge(known.get(), usage), secondary: request.Copy}
	return &wire.HoldResponse{Sequence: r.held[boot].usage.Sequence}, nil
}

// replaceOrMerge returns the counts to hold after others were received. Newer
// whole counts replace the known ones: hours missing from them are in the key-value
// service.
func replaceOrMerge(known, received *wire.Sheet) *wire.Sheet {
	if known == nil {
		return received
	}
	if received.Whole && received.Sequence > known.Sequence {
		return received
	}
	return Merge(known, received)
}

// Collect returns the usage counts of this daemon and those that it holds for
// peers, only for the hours of the period.
func (r *Replicator) Collect(_ context.Context, request *wire.CollectRequest) (*wire.CollectResponse, error) {
	own, err := r.options.Tally.Usage(0, time.Now())
	if err != nil {
		return nil, err
	}
	usages := []*wire.Sheet{selectHours(own, request.From, request.Until)}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, held := range r.held {
		usages = append(usages, selectHours(held.usage, request.From, request.Until))
	}
	return &wire.CollectResponse{Sheets: usages}, nil
}

// selectHours returns a copy of usage with only the counts of a period, given in
// Unix seconds.
func selectHours(usage *wire.Sheet, from, until int64) *wire.Sheet {
	part := proto.Clone(usage).(*wire.Sheet)
	part.Counts = slices.DeleteFunc(part.Counts, func(c *wire.Count) bool {
		return c.Hour < from || c.Hour >= until
	})
	return part
}
