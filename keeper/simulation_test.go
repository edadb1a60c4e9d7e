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

// simulation is one fabric domain, or several, with a simulated store, endpoints and
// the keepers of some daemons. Time is that of a synctest bubble.
type simulation struct {
	mu         sync.Mutex
	store      *fakes.Store
	loadTime   time.Duration // how long a load of weights takes
	stagger    time.Duration // between the starts of two daemons, so that no two act at the same instant
	document   conf.Document
	endpoints  map[string]*endpoint
	roster     []*wire.Daemon
	standings  map[string]wire.Standing // of the daemons, by ID
	daemons    []*daemon
	entries    map[string]store.Entry
	snapshot   *view.View               // view of the entries, nil after a change
	fences     map[string]uint64        // of the newest values, by fabric domain
	orders     map[string]string        // what was ordered, by fabric domain and fencing token
	served     map[string]servedReplica // every replica that was ever written as serving
	dropWrites int                      // writes still to be lost before they reach the store
	violations []string                 // rules that were broken
	auditLog   []audit.Entry
	lateOrders sync.WaitGroup // late orders still to be delivered
	lateCount  int            // orders delivered late
}

// endpoint is the simulated endpoint of an instance.
type endpoint struct {
	store.Instance
	down   bool
	order  engine.Order
	report engine.Report
	ready  time.Time // when the present load of weights ends
}

// servedReplica is a replica as written in the state Serving, which a gate with an
// old snapshot may still serve, and its group's size at that time.
type servedReplica struct {
	fleet.Replica
	size int // members that the group requires
}

// daemon is a simulated daemon with its keeper.
type daemon struct {
	sim         *simulation
	id          string
	keeper      *Keeper
	cancel      context.CancelFunc
	done        chan struct{}
	paused      bool
	unreachable map[string]bool // instances that it can't reach
	orderDelay  time.Duration   // if above 0, orders get no answer and arrive this late
	frozenView  *view.View      // its view while it learns of no changes, nil otherwise
	domain      string
}

func newSimulation() *simulation {
	return &simulation{
		store:     fakes.NewStore(),
		loadTime:  4 * time.Second,
		stagger:   7 * time.Millisecond,
		document:  conf.Fill(conf.Document{Groups: map[string]conf.Group{}, Instances: map[string]conf.Instance{}}),
		endpoints: map[string]*endpoint{},
		standings: map[string]wire.Standing{},
		entries:   map[string]store.Entry{},
		orders:    map[string]string{},
		fences:    map[string]uint64{},
		served:    map[string]servedReplica{},
	}
}

// addFabric adds a fabric domain with its instances. Every other endpoint checks
// fencing tokens.
func (s *simulation) addFabric(name, domain string, size int) {
	for i := range size {
		id := fmt.Sprintf("%s-%d", name, i+1)
		s.endpoints[id] = &endpoint{
			Instance: store.Instance{ID: id, Address: id, Fabric: name, Domain: domain, Chips: 4, ChecksFence: i%2 == 0, Status: store.Live},
			report:   engine.Report{Instance: id, Boot: 1, State: engine.Idle},
		}
	}
	var all []store.Instance
	for _, e := range s.endpoints {
		all = append(all, e.Instance)
	}
	s.store.SetInstances(all...)
}

// configure puts the configuration document into force at all daemons.
func (s *simulation) configure() {
	value, _ := json.Marshal(edit.Envelope{Document: s.document})
	s.learnEntry(store.Entry{Key: fleet.ConfKey, Value: value, Revision: s.entries[fleet.ConfKey].Revision + 1})
}

// start adds a daemon and runs its keeper until ctx ends or the simulation stops.
func (s *simulation) start(ctx context.Context, id, domain string) *daemon {
	d := &daemon{sim: s, id: id, domain: domain, unreachable: map[string]bool{}, done: make(chan struct{})}
	ctx, d.cancel = context.WithCancel(ctx)
	d.keeper = New(Options{
		Self:    id,
		Domain:  domain,
		Store:   d.storeClient(),
		View:    d.view,
		Apply:   s.learnEntry,
		Daemons: s.daemonList,
		Probe:   d.probe,
		Order:   d.order,
		Audit:   func(e audit.Entry) { s.mu.Lock(); defer s.mu.Unlock(); s.auditLog = append(s.auditLog, e) },
		Log:     logr.Discard(),
		Rand:    rand.New(rand.NewPCG(1, uint64(len(s.daemons)))),
	})
	s.update(func() {
		s.daemons = append(s.daemons, d)
		s.standings[id] = wire.Standing_STANDING_ALIVE
	})
	stagger := time.Duration(len(s.daemons)) * s.stagger
	go func() {
		defer close(d.done)
		time.Sleep(stagger)
		_ = d.keeper.Run(ctx)
	}()
	return d
}

// daemonList returns the roster, which all daemons share.
func (s *simulation) daemonList() []*wire.Daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.roster) == len(s.daemons) {
		return s.roster
	}
	s.roster = nil
	for _, d := range s.daemons {
		s.roster = append(s.roster, &wire.Daemon{Id: d.id, Domain: d.domain, Standing: s.standings[d.id]})
	}
	return s.roster
}

// stop ends all daemons and waits for them and for the late orders.
func (s *simulation) stop() {
	for _, d := range s.daemons {
		s.update(func() { d.paused = false })
		d.cancel()
		<-d.done
	}
	s.lateOrders.Wait()
}

// update makes a change under the lock.
func (s *simulation) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// waitWhilePaused blocks a call while the daemon is paused. A daemon pauses at calls
// only: a pause between two calls has the same effect as one at the start of the
// next call.
func (d *daemon) waitWhilePaused() {
	for {
		d.sim.mu.Lock()
		paused := d.paused
		d.sim.mu.Unlock()
		if !paused {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// roundTrip answers a request to the key-value service without a network. A write may
// be lost before it reaches the store, or its answer may be lost (the store then
// panics).
func (d *daemon) roundTrip(r *http.Request) (response *http.Response, err error) {
	d.waitWhilePaused()
	defer d.waitWhilePaused()
	if r.Method == http.MethodPut && d.sim.dropsWrite() {
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
			d.sim.checkWrite(body)
		}
		if lost {
			response, err = nil, errors.New("the connection broke")
		}
	}()
	d.sim.store.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// dropsWrite reports whether the next write is lost before it reaches the store.
func (s *simulation) dropsWrite() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.dropWrites > 0
	s.dropWrites = max(0, s.dropWrites-1)
	return lost
}

// checkWrite checks the rules that a written value has to keep: the fencing token
// never decreases, and no instance is in two replicas. It records the replicas that
// the value lets serve.
func (s *simulation) checkWrite(body []byte) {
	var put store.Put
	var fabric fleet.Fabric
	if json.Unmarshal(body, &put) != nil || !strings.HasPrefix(put.Key, fleet.KeyPrefix) || json.Unmarshal(put.Value, &fabric) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if newest := s.fences[fabric.Name]; fabric.Fence < newest {
		s.addViolation(fmt.Sprintf("fencing token %d after %d", fabric.Fence, newest))
	}
	s.fences[fabric.Name] = fabric.Fence
	owners := map[string]string{}
	for _, r := range fabric.Replicas {
		for _, m := range r.Members {
			if owners[m.Instance] != "" {
				s.addViolation("instance " + m.Instance + " in two replicas of one value")
			}
			owners[m.Instance] = r.ID
		}
		if r.State == chart.Serving {
			s.served[fmt.Sprint(r.ID, r.Fence, r.Gate, r.Members)] = servedReplica{r, s.document.Groups[r.Group].Size}
		}
	}
}

// probe returns an endpoint's report, or an error if it can't be reached.
func (d *daemon) probe(ctx context.Context, address string) (engine.Report, error) {
	d.waitWhilePaused()
	defer d.waitWhilePaused()
	d.sim.mu.Lock()
	defer d.sim.mu.Unlock()
	e := d.sim.endpoints[address]
	if e.down || d.unreachable[address] || ctx.Err() != nil {
		return engine.Report{}, &engine.Error{Op: "probe", Kind: engine.Unsent, Err: errors.New("unreachable")}
	}
	e.finishLoad()
	return e.report, nil
}

// order sends an order to an endpoint, which may arrive late.
func (d *daemon) order(_ context.Context, address string, order engine.Order) (engine.Report, error) {
	d.waitWhilePaused()
	defer d.waitWhilePaused()
	d.sim.mu.Lock()
	defer d.sim.mu.Unlock()
	e := d.sim.endpoints[address]
	d.sim.checkOrder(e.Fabric, order)
	if d.orderDelay > 0 {
		d.sim.deliverLate(e, order, d.orderDelay)
		return engine.Report{}, &engine.Error{Op: "order", Kind: engine.Broken, Err: errors.New("no answer")}
	}
	if e.down || d.unreachable[address] {
		return engine.Report{}, &engine.Error{Op: "order", Kind: engine.Unsent, Err: errors.New("unreachable")}
	}
	if !e.apply(order, d.sim.loadTime) {
		return e.report, &engine.Error{Op: "order", Kind: engine.Stale, Err: errors.New("old fencing token")}
	}
	return e.report, nil
}

// addViolation records that a rule is broken.
func (s *simulation) addViolation(rule string) {
	if !slices.Contains(s.violations, rule) {
		s.violations = append(s.violations, rule)
	}
}

// checkOrder checks that an order's fencing token was written before the order was
// sent, and that no other order has the same token.
func (s *simulation) checkOrder(fabric string, order engine.Order) {
	if order.Fence > s.fences[fabric] {
		s.addViolation(fmt.Sprintf("fencing token %d ordered before it was written", order.Fence))
	}
	if order.Replica == "" {
		return
	}
	text := fmt.Sprint(order.Replica, order.Version, order.Members)
	key := fmt.Sprint(fabric, " ", order.Fence)
	if before := s.orders[key]; before != "" && before != text {
		s.addViolation(fmt.Sprintf("fencing token %d for %s and %s", order.Fence, before, text))
	}
	s.orders[key] = text
}

// deliverLate delivers an order after its sender has given up waiting for the answer.
func (s *simulation) deliverLate(e *endpoint, order engine.Order, after time.Duration) {
	s.lateCount++
	after += time.Duration(s.lateCount) * time.Microsecond // no two arrive at the same instant
	s.lateOrders.Go(func() {
		time.Sleep(after)
		s.update(func() {
			if !e.down {
				e.apply(order, s.loadTime)
			}
		})
	})
}

// finishLoad makes the endpoint ready if its load of weights has ended.
func (e *endpoint) finishLoad() {
	if e.report.State == engine.Loading && !time.Now().Before(e.ready) {
		e.report.State = engine.Ready
	}
}

// apply carries out an order and returns true. An endpoint that checks fencing tokens
// refuses an order with an older one and returns false.
func (e *endpoint) apply(order engine.Order, load time.Duration) bool {
	e.finishLoad()
	r := &e.report
	if e.ChecksFence && order.Fence < r.Fence {
		return false
	}
	same := r.Replica == order.Replica && r.Model == order.Model && r.Version == order.Version
	r.Fence, r.Replica, r.Rank = order.Fence, order.Replica, order.Rank
	r.Model, r.Adapter, r.Version = order.Model, order.Adapter, order.Version
	e.order = order
	switch {
	case order.Replica == "":
		r.State = engine.Idle
	case !same:
		r.State = engine.Loading
		e.ready = time.Now().Add(load)
	}
	return true
}

// restart gives the endpoint the next boot number and no model or order.
func (e *endpoint) restart() {
	e.down = false
	e.order = engine.Order{}
	e.report = engine.Report{Instance: e.ID, Boot: e.report.Boot + 1, State: engine.Idle}
}

// view returns the daemon's view: the shared one, or its frozen one.
func (d *daemon) view() *view.View {
	d.sim.mu.Lock()
	defer d.sim.mu.Unlock()
	if d.frozenView != nil {
		return d.frozenView
	}
	if d.sim.snapshot == nil {
		v, err := view.New(d.sim.entries)
		if err != nil {
			panic(err)
		}
		d.sim.snapshot = v
	}
	return d.sim.snapshot
}

// learnEntry adds an entry to the shared view if it is newer, and reports whether it
// is.
func (s *simulation) learnEntry(entry store.Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry.Revision <= s.entries[entry.Key].Revision {
		return false
	}
	s.entries[entry.Key] = entry
	s.snapshot = nil
	return true
}

// gateAccepts reports whether a gate may serve a replica: all members report the
// replica's fencing token and the boot number recorded for them.
func (s *simulation) gateAccepts(r fleet.Replica) bool {
	for _, m := range r.Members {
		e := s.endpoints[m.Instance]
		e.finishLoad()
		if e.down || e.report.Fence != r.Fence || e.report.Boot != m.Boot {
			return false
		}
	}
	return len(r.Members) > 0
}

// checkReplicas checks every replica that any gate may know of. It records a
// violation for a replica that is accepted while incomplete, for an instance that
// serves two replicas, and for a replica with two gates.
func (s *simulation) checkReplicas() {
	s.mu.Lock()
	defer s.mu.Unlock()
	holders := map[string]servedReplica{}
	for _, r := range s.served {
		if !s.gateAccepts(r.Replica) {
			continue
		}
		if !s.complete(r) {
			s.addViolation("replica " + r.ID + " serves with a member missing")
		}
		for _, m := range r.Members {
			other, taken := holders[m.Instance]
			switch {
			case taken && other.ID != r.ID:
				s.addViolation("instance " + m.Instance + " serves " + r.ID + " and " + other.ID)
			case taken && other.Gate != r.Gate:
				s.addViolation("replica " + r.ID + " has gates " + r.Gate + " and " + other.Gate)
			}
			holders[m.Instance] = r
		}
	}
}

// complete reports whether a replica has as many members as its group requires, and
// all are ready and were ordered to work with exactly each other.
func (s *simulation) complete(r servedReplica) bool {
	var addresses []string
	for _, m := range r.Members {
		addresses = append(addresses, m.Address)
	}
	for rank, m := range r.Members {
		e := s.endpoints[m.Instance]
		if e.report.State != engine.Ready || e.order.Rank != rank || !slices.Equal(e.order.Members, addresses) {
			return false
		}
	}
	return len(r.Members) == r.size
}

// servingCount returns the number of a group's replicas that serve by the present
// values.
func (s *simulation) servingCount(group string) int {
	v := s.daemons[0].view()
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, location := range v.Replicas(group) {
		if location.Replica.State == chart.Serving && s.gateAccepts(location.Replica) {
			count++
		}
	}
	return count
}

// storeClient returns the daemon's client of the key-value service.
func (d *daemon) storeClient() *store.Client { return store.New("http://store", d.roundTrip) }
