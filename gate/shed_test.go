package gate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/wire"
)

// shop is one endpoint under load, before which permits are given by a core or
// by limits that the entries split among themselves.
type shop struct {
	clock     *clock
	random    *rand.Rand
	core      *Core
	waiting   map[uint64]*order
	running   int
	completed uint64
	good      map[string]int // answers in time, by account
	offered   map[string]int
	refused   int
	late      time.Duration // longest wait for a refusal
	waited    int           // refused after a wait
	entries   []int         // in progress by entry, where the limit is split
	share     int           // limit of each entry, where it is split
}

// order is one request of the model.
type order struct {
	account string
	came    time.Time
	entry   int
	counts  bool // came while it was measured
	permit  uint64
}

const (
	shopKnee    = 16 // requests that the endpoint runs at full speed
	shopFirst   = 200 * time.Millisecond
	shopService = time.Second
	shopTarget  = 1100 * time.Millisecond // to the first token, from arrival
	shopSpan    = 60 * time.Second
	shopTail    = 5 * time.Second  // in which those that came before are finished
	shopWarm    = 20 * time.Second // before it is measured
	shopEntries = 9
	shopSmall   = 4 // accounts beside the greedy one
)

// shopCapacity is the requests a second that the endpoint completes at its
// knee.
const shopCapacity = shopKnee / 1.0

func newShop(full int) *shop {
	s := &shop{
		clock:   newClock(),
		random:  rand.New(rand.NewPCG(1, 2)),
		waiting: map[uint64]*order{},
		good:    map[string]int{},
		offered: map[string]int{},
		entries: make([]int, shopEntries),
	}
	setup := testSetup(conf.Ramp{Start: full, Step: 1, Full: full}, nil)
	s.core = openCore(s.clock.now, setup, 0)
	s.clock.every(ProbeEvery, func() {
		s.core.Set(s.clock.now, setup)
		report := ready(s.completed)
		report.Running = min(s.running, shopKnee)
		s.deliver(s.core.Probe(s.clock.now, s.clock.now, "i:1", report))
	})
	return s
}

// offer sends requests of an account at a rate, in requests a second.
func (s *shop) offer(account string, rate float64) {
	pause := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	s.clock.after(pause, func() {
		s.arrive(account)
		s.offer(account, rate)
	})
}

func (s *shop) arrive(account string) {
	// Callers keep to few entries, so the entries are loaded unevenly.
	entry := int(math.Sqrt(s.random.Float64()) * shopEntries)
	o := &order{account: account, came: s.clock.now, entry: entry, counts: s.measured()}
	if o.counts {
		s.offered[account]++
	}
	if s.share > 0 {
		s.arriveSplit(o)
		return
	}
	id, answers := s.core.Ask(s.clock.now, &wire.AcquireRequest{
		Daemon: "d", Account: account, Tokens: 100, Wait: durationpb.New(shopTarget - 2*shopFirst),
	})
	s.waiting[id] = o
	s.deliver(answers)
	s.clock.after(shopTarget-2*shopFirst, func() {
		if s.waiting[id] != nil && s.core.Abandon(id) != nil {
			s.refuse(o)
			delete(s.waiting, id)
		}
	})
}

func (s *shop) arriveSplit(o *order) {
	if s.entries[o.entry] >= s.share {
		s.refuse(o)
		return
	}
	s.entries[o.entry]++
	s.start(o)
}

func (s *shop) deliver(answers []Answer) {
	for _, answer := range answers {
		o := s.waiting[answer.Ask]
		delete(s.waiting, answer.Ask)
		if answer.Response.Verdict != wire.Verdict_VERDICT_GRANTED {
			s.refuse(o)
			continue
		}
		o.permit = answer.Response.Permit
		s.start(o)
	}
}

func (s *shop) refuse(o *order) {
	s.refused++
	s.late = max(s.late, s.clock.now.Sub(o.came))
	if s.clock.now.Sub(o.came) > 0 {
		s.waited++
	}
}

// start runs a request. Past the knee each one slows the others down by more
// than its part, as with a cache that no longer holds what they need.
func (s *shop) start(o *order) {
	s.running++
	slow := math.Pow(max(1, float64(s.running)/shopKnee), 1.5)
	first := time.Duration(slow * float64(shopFirst))
	service := time.Duration(slow * float64(shopService) * (0.5 + s.random.Float64()))
	s.clock.after(service, func() { s.finish(o, s.clock.now.Add(first-service), first) })
}

func (s *shop) finish(o *order, firstAt time.Time, first time.Duration) {
	s.running--
	s.completed++
	if o.counts && firstAt.Sub(o.came) <= shopTarget {
		s.good[o.account]++
	}
	if s.share > 0 {
		s.entries[o.entry]--
		return
	}
	_, answers := s.core.Release(s.clock.now, &wire.ReleaseRequest{
		Permit: o.permit, Ending: wire.Ending_ENDING_COMPLETE, FirstToken: durationpb.New(first),
	})
	s.deliver(answers)
}

func (s *shop) measured() bool {
	since := s.clock.now.Sub(time.Unix(1000, 0))
	return since >= shopWarm && since < shopSpan
}

// load runs the model at a multiple of its capacity. The greedy account offers
// all but what four small ones do, which is half of their fair shares.
func (s *shop) load(times float64) {
	total := times * shopCapacity
	small := min(total, shopCapacity) / (shopSmall + 1) / 2
	for i := range shopSmall {
		s.offer(fmt.Sprintf("small%d", i), small)
	}
	s.offer("greedy", total-shopSmall*small)
	s.clock.run(shopSpan + shopTail)
}

// goodput is the answers in time a second.
func (s *shop) goodput() float64 {
	sum := 0
	for _, count := range s.good {
		sum += count
	}
	return float64(sum) / (shopSpan - shopWarm).Seconds()
}

// smallest is the smallest part of its offers that a small account got
// answered in time.
func (s *shop) smallest() float64 {
	part := 1.0
	for i := range shopSmall {
		account := fmt.Sprintf("small%d", i)
		part = min(part, float64(s.good[account])/float64(max(1, s.offered[account])))
	}
	return part
}

var shopTimes = []float64{0.5, 1, 2, 5}

// TestShed holds the goodput past the knee and the small accounts' part
// against their bounds.
func TestShed(t *testing.T) {
	const (
		full     = 4 * shopKnee // as operators might set it who don't know the knee
		keepPart = 0.9          // of the goodput at the knee
		keepOwn  = 0.9          // of a small account's offers
	)
	is := is.New(t)
	var table strings.Builder
	fmt.Fprintf(&table, "%-6s %9s %9s %8s %8s %9s\n", "load", "goodput/s", "smallest", "refused", "waited", "longest")
	var knee float64
	for _, times := range shopTimes {
		s := newShop(full)
		s.load(times)
		fmt.Fprintf(&table, "%-6.1f %9.2f %9.3f %8d %8d %9v\n", times, s.goodput(), s.smallest(), s.refused, s.waited, s.late.Round(time.Millisecond))
		if times == 1 {
			knee = s.goodput()
		}
		if times >= 1 {
			is.True(s.goodput() >= keepPart*knee) // goodput falls past the knee
		}
		if times >= 2 {
			is.True(s.waited <= s.refused/4) // too few refused at once
		}
		is.True(s.smallest() >= keepOwn)                           // a small account lost its share
		is.True(s.late <= shopTarget-2*shopFirst+time.Millisecond) // a refusal was held back
	}
	golden(t, "shed", table.String())
}

// TestLimitKinds prints what the adaptive limit gains over fixed ones, and the
// central permit over limits that the entries split among themselves.
func TestLimitKinds(t *testing.T) {
	kinds := []struct {
		name    string
		full    int
		fixed   bool
		share   int // of each entry, 0 for central permits
		atLeast float64
	}{
		{name: "adaptive to 64", full: 64},
		{name: "fixed 64", full: 64, fixed: true},
		{name: "fixed 16, the knee", full: 16, fixed: true},
		{name: "split, 1 an entry", full: 64, share: 1},
		{name: "split, 2 an entry", full: 64, share: 2},
		{name: "split, 7 an entry", full: 64, share: 7},
	}
	var table strings.Builder
	fmt.Fprintf(&table, "%-20s", "goodput/s (smallest)")
	for _, times := range shopTimes {
		fmt.Fprintf(&table, "%16.1f", times)
	}
	for _, kind := range kinds {
		fmt.Fprintf(&table, "\n%-20s", kind.name)
		for _, times := range shopTimes {
			s := newShop(kind.full)
			s.share = kind.share
			s.core.fixed = kind.fixed
			s.load(times)
			fmt.Fprintf(&table, "%8.2f (%.3f)", s.goodput(), s.smallest())
		}
	}
	golden(t, "limits", table.String()+"\n")
}
