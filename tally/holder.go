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

// How often usage leaves the daemon that counts it.
const (
	holdEvery  = 2 * time.Second  // to a peer
	flushEvery = 60 * time.Second // to the key-value service
	holdLimit  = time.Second      // for one call to a peer
	flushLimit = 5 * time.Second  // for one call to the key-value service
	quietLimit = 30 * time.Second // without anybody who takes a sheet
)

// Options are what a Holder depends on.
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

// Holder keeps this daemon's sheet at a peer and in the key-value service, and
// holds the sheets of peers. It implements wire's Tally service.
type Holder struct {
	options Options
	metrics metrics

	mutex  sync.Mutex
	held   map[Boot]*holding // sheets of peers
	holder string            // peer that holds this daemon's sheet
	acked  uint64            // sequence that it holds without a gap
	kept   time.Time         // when a peer or the store last took a sheet of this boot
	pages  map[string]*page  // by store key
}

// NewHolder returns a holder that does nothing before Run.
func NewHolder(o Options) *Holder {
	return &Holder{
		options: o,
		metrics: newMetrics(o.Registry),
		held:    map[Boot]*holding{},
		pages:   map[string]*page{},
	}
}

// Opened reports whether this boot is known outside its own process. Before
// that, requests answered here could vanish without a gap in the report, so a
// daemon isn't ready.
func (h *Holder) Opened() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return !h.kept.IsZero()
}

// Vouched reports whether this daemon may go on answering: somebody outside
// took its sheet within quietLimit, or it knows of no peer that could. A peer
// may therefore bound the gap that a vanished daemon leaves.
func (h *Holder) Vouched() bool {
	if len(h.options.Daemons()) <= 1 {
		return true
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return time.Since(h.kept) < quietLimit
}

// Run passes usage on until the context ends; then it writes a last, closed
// sheet, for which it takes at most twice flushLimit.
func (h *Holder) Run(ctx context.Context) error {
	h.flush(ctx)
	h.hold(ctx)
	holds := time.NewTicker(holdEvery)
	defer holds.Stop()
	flushes := time.NewTicker(h.phase())
	defer flushes.Stop()
	for {
		select {
		case <-ctx.Done():
			h.finish()
			return nil
		case <-holds.C:
			h.hold(ctx)
			h.adopt()
			h.passOn(ctx)
		case <-flushes.C:
			flushes.Reset(flushEvery)
			h.flush(ctx)
		}
	}
}

// phase spreads the daemons' writes over the interval.
func (h *Holder) phase() time.Duration {
	offset := time.Duration(xxhash.Sum64String(h.options.Self) % uint64(flushEvery))
	return max(offset, time.Second)
}

func (h *Holder) finish() {
	h.options.Tally.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*flushLimit)
	defer cancel()
	h.hold(ctx)
	h.flush(ctx)
	h.leaveAll(ctx)
}

// hold sends the peer in charge what changed since its last sheet. A peer that
// lacks something answers with a lower sequence, and gets all the next time.
func (h *Holder) hold(ctx context.Context) {
	peer := h.choose()
	if peer == nil {
		return
	}
	sheet, err := h.options.Tally.Sheet(h.ackedBy(peer.Id), time.Now())
	if err != nil {
		h.options.Log.Error(err, "usage sheet not made")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, holdLimit)
	defer cancel()
	response, err := h.options.Client(peer.PeerAddress).Hold(ctx, &wire.HoldRequest{Sheet: sheet})
	if err != nil {
		h.metrics.failures.WithLabelValues("hold").Inc()
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.acked = response.Sequence
	if response.Sequence >= sheet.Sequence {
		h.kept = time.Now()
	}
}

// ackedBy returns the sequence that a peer is known to hold; a new peer holds
// nothing.
func (h *Holder) ackedBy(peer string) uint64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.holder != peer {
		h.holder = peer
		h.acked = 0
	}
	return h.acked
}

// choose returns the live peer that is first in rendezvous order, one of
// another failure domain where there is one.
func (h *Holder) choose() *wire.Daemon {
	var peers []*wire.Daemon
	for _, d := range h.options.Daemons() {
		if d.Id != h.options.Self && d.Standing == wire.Standing_STANDING_ALIVE {
			peers = append(peers, d)
		}
	}
	if len(peers) == 0 {
		return nil
	}
	return slices.MinFunc(peers, func(a, b *wire.Daemon) int {
		return cmp.Or(
			cmp.Compare(h.near(a), h.near(b)),
			cmp.Compare(h.score(a), h.score(b)),
			cmp.Compare(a.Id, b.Id),
		)
	})
}

func (h *Holder) near(d *wire.Daemon) int {
	if d.Domain == h.options.Domain {
		return 1
	}
	return 0
}

func (h *Holder) score(d *wire.Daemon) uint64 {
	return xxhash.Sum64String(h.options.Self + "/" + d.Id)
}

// Hold keeps a peer's sheet.
func (h *Holder) Hold(_ context.Context, request *wire.HoldRequest) (*wire.HoldResponse, error) {
	sheet := request.GetSheet()
	if sheet == nil {
		return &wire.HoldResponse{}, nil
	}
	boot := Boot{Daemon: sheet.Daemon, Boot: sheet.Boot}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	known := h.held[boot]
	if !Follows(known.get(), sheet) {
		return &wire.HoldResponse{}, nil
	}
	h.held[boot] = &holding{sheet: succeed(known.get(), sheet), copy: request.Copy}
	return &wire.HoldResponse{Sequence: h.held[boot].sheet.Sequence}, nil
}

// succeed returns what is to be held after a sheet came. A whole sheet takes
// the place of what was held: what it lacks is in the key-value service.
func succeed(known, sheet *wire.Sheet) *wire.Sheet {
	if known == nil {
		return sheet
	}
	if sheet.Whole && sheet.Sequence > known.Sequence {
		return sheet
	}
	return Merge(known, sheet)
}

// Collect returns the sheets that this daemon counts or holds, each with the
// hours of the period alone.
func (h *Holder) Collect(_ context.Context, request *wire.CollectRequest) (*wire.CollectResponse, error) {
	own, err := h.options.Tally.Sheet(0, time.Now())
	if err != nil {
		return nil, err
	}
	sheets := []*wire.Sheet{cut(own, request.From, request.Until)}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, held := range h.held {
		sheets = append(sheets, cut(held.sheet, request.From, request.Until))
	}
	return &wire.CollectResponse{Sheets: sheets}, nil
}

// cut returns a sheet with the counts of a period alone.
func cut(sheet *wire.Sheet, from, until int64) *wire.Sheet {
	part := proto.Clone(sheet).(*wire.Sheet)
	part.Counts = slices.DeleteFunc(part.Counts, func(c *wire.Count) bool {
		return c.Hour < from || c.Hour >= until
	})
	return part
}
