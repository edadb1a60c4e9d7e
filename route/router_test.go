package route

import (
	"cmp"
	"container/list"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/edit"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/view"
	"clementinehead.example/chead/wire"
)

func ids(places []view.Place) []string {
	var all []string
	for _, place := range places {
		all = append(all, place.Replica.ID)
	}
	return all
}

// TestOrder holds which replicas are tried against their states.
func TestOrder(t *testing.T) {
	is := is.New(t)
	document := conf.Document{
		Groups: map[string]conf.Group{
			"g": {Model: "m", Accounts: []string{"a"}},
			"h": {Model: "m", Accounts: []string{"b"}},
		},
		Accounts:  map[string]conf.Account{"a": {}, "b": {}},
		Domains:   map[string]conf.Domain{"near": {Region: "x"}, "mid": {Region: "x"}, "far": {Region: "y"}, "out": {Out: true}},
		Instances: map[string]conf.Instance{"i004-2": {Out: true}},
	}
	fabric := func(domain string, replicas ...fleet.Replica) fleet.Fabric {
		return fleet.Fabric{Name: domain, Domain: domain, Replicas: replicas}
	}
	draining, other := testReplica(3), testReplica(5)
	draining.State = chart.Draining
	other.Group = "h"
	v := viewOf(map[string]any{
		fleet.Conf:        edit.Envelope{Document: document},
		fleet.Key("near"): fabric("near", testReplica(0), draining, testReplica(4), other),
		fleet.Key("mid"):  fabric("mid", testReplica(1)),
		fleet.Key("far"):  fabric("far", testReplica(2)),
		fleet.Key("out"):  fabric("out", testReplica(6)),
	})
	r := New(Options{})
	is.Equal(ids(r.Order(v, "a", "m", []uint64{1}, "near")), []string{"r000", "r001", "r002"})
	is.Equal(ids(r.Order(v, "a", "m", []uint64{1}, "far"))[0], "r002")
	is.Equal(ids(r.Order(v, "b", "m", nil, "near")), []string{"r005"})
	is.Equal(len(r.Order(v, "c", "m", nil, "near")), 0)
}

// TestHome shows that a conversation keeps its home as it grows, that a loaded
// home is passed over, and that this is forgotten in time.
func TestHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		v := testView(5, 1)
		r := New(Options{})
		short := []uint64{1, 2, 3, 4}
		home := r.Order(v, "a", "m", short, "z0")
		grown := r.Order(v, "a", "m", append(short, 5, 6), "z0")
		is.Equal(ids(home), ids(grown))
		r.Observe(home[0].Replica.ID, &wire.AcquireResponse{
			Verdict: wire.Verdict_VERDICT_GRANTED, Load: 8, Limit: 8, Queued: 3,
		})
		is.Equal(ids(r.Order(v, "a", "m", short, "z0"))[0], home[1].Replica.ID)
		time.Sleep(loadLife + 1)
		is.Equal(ids(r.Order(v, "a", "m", short, "z0")), ids(home))
	})
}

// TestMoves shows that a replica which goes moves only its own homes.
func TestMoves(t *testing.T) {
	is := is.New(t)
	before, after := testView(10, 1), testView(9, 1)
	r := New(Options{})
	for anchor := range uint64(500) {
		prefix := []uint64{xxhash.Sum64String(fmt.Sprint(anchor))}
		old := ids(r.Order(before, "a", "m", prefix, "z0"))[0]
		if old != "r009" {
			is.Equal(ids(r.Order(after, "a", "m", prefix, "z0"))[0], old)
		}
	}
}

// plan is one way to choose replicas in the comparison.
type plan struct {
	name   string
	policy func(Request, []Candidate)
	oracle bool // knows every load exactly
}

// result is what a run of the comparison measured.
type result struct {
	found   int
	blocks  int
	refused int
	firsts  []time.Duration
}

const (
	runReplicas = 15
	runDomains  = 3
	runEntries  = 9
	runSpan     = 60 * time.Second
	runTries    = 4 // replicas that an entry asks
	talks       = 150
	system      = 8 // blocks that all conversations of an account share
)

// run sends conversations at a part of the replicas' capacity.
func run(p plan, part float64) *result {
	s := &scene{
		view:    testView(runReplicas, runDomains),
		boxes:   map[string]*box{},
		oracle:  p.oracle,
		routers: make([]*Router, runEntries),
		result:  &result{},
		random:  rand.New(rand.NewPCG(3, 4)),
	}
	for i := range s.routers {
		s.routers[i] = New(Options{Policy: p.policy})
	}
	for _, place := range s.view.Replicas("g") {
		b := &box{blocks: map[uint64]*list.Element{}}
		b.order.Init()
		s.boxes[place.Replica.ID] = b
	}
	rate := part * runReplicas * boxLimit / boxService.Seconds()
	began := time.Now()
	for time.Since(began) < runSpan {
		time.Sleep(time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)))
		entry, prefix := s.talk()
		s.group.Go(func() { s.request(entry, prefix) })
	}
	s.group.Wait()
	return s.result
}

// scene is the state of one run.
type scene struct {
	mu      sync.Mutex
	group   sync.WaitGroup
	view    *view.View
	boxes   map[string]*box
	oracle  bool
	routers []*Router
	result  *result
	random  *rand.Rand
	turns   [talks]int
}

// talk returns the prefix of the next turn of a conversation, of which some
// are busier than others, and the entry that it comes to. Callers keep their
// entry for a while.
func (s *scene) talk() (int, []uint64) {
	n := int(math.Pow(s.random.Float64(), 2) * talks)
	s.turns[n] = (s.turns[n] + 1) % 20
	account := uint64(n % 10)
	var prefix []uint64
	for i := range uint64(system + 2*s.turns[n]) {
		owner := account
		if i >= system/4 {
			owner = uint64(n) + 100 // what the conversation says for itself begins early
		}
		prefix = append(prefix, xxhash.Sum64String(fmt.Sprint(owner, i)))
	}
	if s.random.IntN(10) == 0 {
		return s.random.IntN(runEntries), prefix
	}
	return n % runEntries, prefix
}

func (s *scene) request(entry int, prefix []uint64) {
	router := s.routers[entry]
	if s.oracle {
		s.tellAll(router)
	}
	domain := fmt.Sprintf("z%d", entry%runDomains)
	s.mu.Lock() // the random policy is shared
	places := router.Order(s.view, "a", "m", prefix, domain)
	s.mu.Unlock()
	for _, place := range places[:runTries] {
		if s.try(router, place.Replica.ID, prefix) {
			return
		}
	}
	s.mu.Lock()
	s.result.refused++
	s.mu.Unlock()
}

func (s *scene) tellAll(router *Router) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, b := range s.boxes {
		router.Observe(id, b.answer(wire.Verdict_VERDICT_GRANTED))
	}
}

func (b *box) answer(verdict wire.Verdict) *wire.AcquireResponse {
	return &wire.AcquireResponse{Verdict: verdict, Load: uint32(b.running), Limit: boxLimit}
}

// try runs a request at a replica unless that is full.
func (s *scene) try(router *Router, replica string, prefix []uint64) bool {
	s.mu.Lock()
	b := s.boxes[replica]
	if b.running >= boxLimit {
		router.Observe(replica, b.answer(wire.Verdict_VERDICT_BUSY))
		s.mu.Unlock()
		return false
	}
	first, found := b.first(prefix)
	b.running++
	router.Observe(replica, b.answer(wire.Verdict_VERDICT_GRANTED))
	s.result.found += found
	s.result.blocks += len(prefix)
	s.result.firsts = append(s.result.firsts, first)
	s.mu.Unlock()
	time.Sleep(first + boxAnswer)
	s.mu.Lock()
	b.running--
	s.mu.Unlock()
	return true
}

// TestGain prints what affinity gains over least loaded and random on the same
// load, and holds it to finding the most of the prefixes.
func TestGain(t *testing.T) {
	is := is.New(t)
	plans := []plan{
		{name: "affinity", policy: Affinity},
		{name: "least loaded", policy: LeastLoaded},
		{name: "least loaded, oracle", policy: LeastLoaded, oracle: true},
		{name: "random", policy: Random(rand.New(rand.NewPCG(5, 6)))},
	}
	var table strings.Builder
	worse := false
	fmt.Fprintf(&table, "%-22s %5s %7s %10s %10s %8s\n", "policy", "load", "cached", "mean", "p95", "refused")
	for _, part := range []float64{0.3, 0.6, 0.9} {
		var best float64
		for i, p := range plans {
			var r *result
			synctest.Test(t, func(*testing.T) { r = run(p, part) })
			cached := float64(r.found) / float64(r.blocks)
			mean, p95 := summary(r.firsts)
			fmt.Fprintf(&table, "%-22s %5.1f %7.3f %10v %10v %8d\n", p.name, part, cached, mean, p95, r.refused)
			if i == 0 {
				best = cached
			} else {
				worse = worse || cached >= best
			}
		}
	}
	t.Log("\n" + table.String())
	is.True(!worse) // another policy found more of the prefixes
}

func summary(all []time.Duration) (time.Duration, time.Duration) {
	slices.SortFunc(all, func(a, b time.Duration) int { return cmp.Compare(a, b) })
	var sum time.Duration
	for _, d := range all {
		sum += d
	}
	mean := sum / time.Duration(len(all))
	return mean.Round(time.Millisecond), all[len(all)*95/100].Round(time.Millisecond)
}

func BenchmarkOrder(b *testing.B) {
	for _, size := range []struct{ replicas, domains int }{{15, 3}, {50, 6}, {150, 11}} {
		b.Run(fmt.Sprintf("replicas=%d", size.replicas), func(b *testing.B) {
			v := testView(size.replicas, size.domains)
			r := New(Options{})
			prefix := []uint64{1, 2, 3, 4}
			b.ReportAllocs()
			for b.Loop() {
				r.Order(v, "a", "m", prefix, "z0")
			}
		})
	}
}
