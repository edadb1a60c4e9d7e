package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"clementinehead.example/chead/audit"
	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/edit"
	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/store"
	"clementinehead.example/chead/view"
	"clementinehead.example/chead/wire"
)

// world is one fabric domain, or several, with the keepers of some daemons.
type world struct {
	mu        sync.Mutex
	store     *fakes.Store
	load      time.Duration // of weights
	stagger   time.Duration // between the daemons, so that no two act at one instant
	document  conf.Document
	points    map[string]*point
	roster    []*wire.Daemon
	standings map[string]wire.Standing // of the daemons, by id
	hosts     []*host
	entries   map[string]store.Entry
	picture   *view.View        // of the entries, nil after a change
	fences    map[string]uint64 // of the newest values, by fabric domain
	orders    map[string]string // what was ordered, by fabric domain and fencing number
	offers    map[string]offer  // every replica that was ever written as serving
	drop      int               // writes yet to be lost on their way
	faults    []string          // broken rules
	trail     []audit.Entry
	late      sync.WaitGroup
	sent      int // orders that arrive late
}

// point is an endpoint.
type point struct {
	store.Instance
	down   bool
	order  engine.Order
	report engine.Report
	ready  time.Time
}

// offer is a replica as a gate with an old picture may know it.
type offer struct {
	fleet.Replica
	size int
}

// host is a daemon with its keeper.
type host struct {
	w      *world
	id     string
	keeper *Keeper
	cancel context.CancelFunc
	done   chan struct{}
	paused bool
	cut    map[string]bool // instances that it can't reach
	delay  time.Duration   // orders are not answered, and arrive so late
	frozen *view.View      // its picture, while no news reaches it
	domain string
}

func newWorld() *world {
	return &world{
		store:     fakes.NewStore(),
		load:      4 * time.Second,
		stagger:   7 * time.Millisecond,
		document:  conf.Fill(conf.Document{Groups: map[string]conf.Group{}, Instances: map[string]conf.Instance{}}),
		points:    map[string]*point{},
		standings: map[string]wire.Standing{},
		entries:   map[string]store.Entry{},
		orders:    map[string]string{},
		fences:    map[string]uint64{},
		offers:    map[string]offer{},
	}
}

// addFabric adds instances, of which every other one checks fencing numbers.
func (w *world) addFabric(name, domain string, size int) {
	for i := range size {
		id := fmt.Sprintf("%s-%d", name, i+1)
		w.points[id] = &point{
			Instance: store.Instance{ID: id, Address: id, Fabric: name, Domain: domain, Chips: 4, Checks: i%2 == 0, Standing: store.Live},
			report:   engine.Report{Instance: id, Boot: 1, State: engine.Idle},
		}
	}
	var all []store.Instance
	for _, p := range w.points {
		all = append(all, p.Instance)
	}
	w.store.SetInstances(all...)
}

// configure puts the document into force everywhere.
func (w *world) configure() {
	value, _ := json.Marshal(edit.Envelope{Document: w.document})
	w.learn(store.Entry{Key: fleet.Conf, Value: value, Revision: w.entries[fleet.Conf].Revision + 1})
}

func (w *world) start(ctx context.Context, id, domain string) *host {
	h := &host{w: w, id: id, domain: domain, cut: map[string]bool{}, done: make(chan struct{})}
	ctx, h.cancel = context.WithCancel(ctx)
	h.keeper = New(Options{
		Self:    id,
		Domain:  domain,
		Store:   h.keeperStore(),
		View:    h.view,
		Learn:   w.learn,
		Daemons: w.daemons,
		Probe:   h.probe,
		Order:   h.order,
		Audit:   func(e audit.Entry) { w.mu.Lock(); defer w.mu.Unlock(); w.trail = append(w.trail, e) },
		Log:     logr.Discard(),
		Rand:    rand.New(rand.NewPCG(1, uint64(len(w.hosts)))),
	})
	w.set(func() {
		w.hosts = append(w.hosts, h)
		w.standings[id] = wire.Standing_STANDING_ALIVE
	})
	stagger := time.Duration(len(w.hosts)) * w.stagger
	go func() {
		defer close(h.done)
		time.Sleep(stagger)
		_ = h.keeper.Run(ctx)
	}()
	return h
}

// daemons returns the roster, which all daemons share.
func (w *world) daemons() []*wire.Daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.roster) == len(w.hosts) {
		return w.roster
	}
	w.roster = nil
	for _, h := range w.hosts {
		w.roster = append(w.roster, &wire.Daemon{Id: h.id, Domain: h.domain, Standing: w.standings[h.id]})
	}
	return w.roster
}

// stop ends all daemons.
func (w *world) stop() {
	for _, h := range w.hosts {
		w.set(func() { h.paused = false })
		h.cancel()
		<-h.done
	}
	w.late.Wait()
}

func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// wait holds a call of a paused daemon up. A daemon pauses at calls only: any
// instant between two of them is as good as the next call's beginning.
func (h *host) wait() {
	for {
		h.w.mu.Lock()
		paused := h.paused
		h.w.mu.Unlock()
		if !paused {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// call answers a call of the key-value service without a network.
func (h *host) call(r *http.Request) (response *http.Response, err error) {
	h.wait()
	defer h.wait()
	if r.Method == http.MethodPut && h.w.drops() {
		return nil, errors.New("the connection broke")
	}
	r.RequestURI = r.URL.RequestURI()
	if r.Body == nil {
		r.Body = http.NoBody
	}
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	recorder := httptest.NewRecorder()
	defer func() {
		lost := recover() != nil
		if r.Method == http.MethodPut && (lost || recorder.Code == http.StatusOK) {
			h.w.wrote(body)
		}
		if lost {
			response, err = nil, errors.New("the connection broke")
		}
	}()
	h.w.store.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// drops reports whether a write is to be lost on its way.
func (w *world) drops() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	lost := w.drop > 0
	w.drop = max(0, w.drop-1)
	return lost
}

// wrote notes a value that was written, and checks the rules that it has to
// keep.
func (w *world) wrote(body []byte) {
	var put store.Put
	var fabric fleet.Fabric
	if json.Unmarshal(body, &put) != nil || !strings.HasPrefix(put.Key, fleet.Prefix) || json.Unmarshal(put.Value, &fabric) != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if newest := w.fences[fabric.Name]; fabric.Fence < newest {
		w.broken(fmt.Sprintf("fencing number %d after %d", fabric.Fence, newest))
	}
	w.fences[fabric.Name] = fabric.Fence
	owners := map[string]string{}
	for _, r := range fabric.Replicas {
		for _, m := range r.Members {
			if owners[m.Instance] != "" {
				w.broken("instance " + m.Instance + " in two replicas by one value")
			}
			owners[m.Instance] = r.ID
		}
		if r.State == chart.Serving {
			w.offers[fmt.Sprint(r.ID, r.Fence, r.Gate, r.Members)] = offer{r, w.document.Groups[r.Group].Size}
		}
	}
}

func (h *host) probe(ctx context.Context, address string) (engine.Report, error) {
	h.wait()
	defer h.wait()
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	p := h.w.points[address]
	if p.down || h.cut[address] || ctx.Err() != nil {
		return engine.Report{}, &engine.Error{Op: "probe", Kind: engine.Unsent, Err: errors.New("unreachable")}
	}
	p.advance()
	return p.report, nil
}

func (h *host) order(_ context.Context, address string, order engine.Order) (engine.Report, error) {
	h.wait()
	defer h.wait()
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	p := h.w.points[address]
	h.w.ordered(p.Fabric, order)
	if h.delay > 0 {
		h.w.deliver(p, order, h.delay)
		return engine.Report{}, &engine.Error{Op: "order", Kind: engine.Broken, Err: errors.New("no answer")}
	}
	if p.down || h.cut[address] {
		return engine.Report{}, &engine.Error{Op: "order", Kind: engine.Unsent, Err: errors.New("unreachable")}
	}
	if !p.obey(order, h.w.load) {
		return p.report, &engine.Error{Op: "order", Kind: engine.Stale, Err: errors.New("old fencing number")}
	}
	return p.report, nil
}

// broken notes that a rule is broken.
func (w *world) broken(rule string) {
	if !slices.Contains(w.faults, rule) {
		w.faults = append(w.faults, rule)
	}
}

// ordered notes an order, and checks that its fencing number was written
// before, and was given to no other one.
func (w *world) ordered(fabric string, order engine.Order) {
	if order.Fence > w.fences[fabric] {
		w.broken(fmt.Sprintf("fencing number %d ordered before it was written", order.Fence))
	}
	if order.Replica == "" {
		return
	}
	text := fmt.Sprint(order.Replica, order.Version, order.Members)
	key := fmt.Sprint(fabric, " ", order.Fence)
	if before := w.orders[key]; before != "" && before != text {
		w.broken(fmt.Sprintf("fencing number %d for %s and %s", order.Fence, before, text))
	}
	w.orders[key] = text
}

// deliver lets an order arrive after its sender has given it up.
func (w *world) deliver(p *point, order engine.Order, after time.Duration) {
	w.sent++
	after += time.Duration(w.sent) * time.Microsecond // no two arrive at one instant
	w.late.Go(func() {
		time.Sleep(after)
		w.set(func() {
			if !p.down {
				p.obey(order, w.load)
			}
		})
	})
}

// advance finishes a load that is due.
func (p *point) advance() {
	if p.report.State == engine.Loading && !time.Now().Before(p.ready) {
		p.report.State = engine.Ready
	}
}

// obey carries an order out, unless the endpoint checks and it is an old one.
func (p *point) obey(order engine.Order, load time.Duration) bool {
	p.advance()
	r := &p.report
	if p.Checks && order.Fence < r.Fence {
		return false
	}
	same := r.Replica == order.Replica && r.Model == order.Model && r.Version == order.Version
	r.Fence, r.Replica, r.Rank = order.Fence, order.Replica, order.Rank
	r.Model, r.Adapter, r.Version = order.Model, order.Adapter, order.Version
	p.order = order
	switch {
	case order.Replica == "":
		r.State = engine.Idle
	case !same:
		r.State = engine.Loading
		p.ready = time.Now().Add(load)
	}
	return true
}

// restart gives an endpoint another boot, cold.
func (p *point) restart() {
	p.down = false
	p.order = engine.Order{}
	p.report = engine.Report{Instance: p.ID, Boot: p.report.Boot + 1, State: engine.Idle}
}

func (h *host) view() *view.View {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	if h.frozen != nil {
		return h.frozen
	}
	if h.w.picture == nil {
		v, err := view.New(h.w.entries)
		if err != nil {
			panic(err)
		}
		h.w.picture = v
	}
	return h.w.picture
}

func (w *world) learn(entry store.Entry) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if entry.Revision <= w.entries[entry.Key].Revision {
		return false
	}
	w.entries[entry.Key] = entry
	w.picture = nil
	return true
}

// accepted reports whether a gate that follows its rule would serve a replica:
// all members report its fencing number and the boot that is noted.
func (w *world) accepted(r fleet.Replica) bool {
	for _, m := range r.Members {
		p := w.points[m.Instance]
		p.advance()
		if p.down || p.report.Fence != r.Fence || p.report.Boot != m.Boot {
			return false
		}
	}
	return len(r.Members) > 0
}

// check looks at every replica that any gate may know, and notes each rule
// that is broken now.
func (w *world) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	holders := map[string]offer{}
	for _, o := range w.offers {
		if !w.accepted(o.Replica) {
			continue
		}
		if !w.complete(o) {
			w.broken("replica " + o.ID + " serves with a member missing")
		}
		for _, m := range o.Members {
			other, taken := holders[m.Instance]
			switch {
			case taken && other.ID != o.ID:
				w.broken("instance " + m.Instance + " serves " + o.ID + " and " + other.ID)
			case taken && other.Gate != o.Gate:
				w.broken("replica " + o.ID + " has gates " + o.Gate + " and " + other.Gate)
			}
			holders[m.Instance] = o
		}
	}
}

// complete reports whether all members are ready and were ordered to work with
// just each other.
func (w *world) complete(o offer) bool {
	var addresses []string
	for _, m := range o.Members {
		addresses = append(addresses, m.Address)
	}
	for rank, m := range o.Members {
		p := w.points[m.Instance]
		if p.report.State != engine.Ready || p.order.Rank != rank || !slices.Equal(p.order.Members, addresses) {
			return false
		}
	}
	return len(o.Members) == o.size
}

// serving counts the replicas of a group that serve by the present values.
func (w *world) serving(group string) int {
	v := w.hosts[0].view()
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, place := range v.Replicas(group) {
		if place.Replica.State == chart.Serving && w.accepted(place.Replica) {
			count++
		}
	}
	return count
}

// keeperStore returns the daemon's client of the key-value service.
func (h *host) keeperStore() *store.Client { return store.New("http://store", h.call) }
