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

// overloadModel simulates one endpoint under load. Permits are given by a Core,
// or by fixed limits of the entries (split mode).
type overloadModel struct {
	clock       *eventClock
	random      *rand.Rand
	core        *Core
	waiting     map[uint64]*modelRequest
	running     int
	completed   uint64
	inTime      map[string]int // answers within modelTarget, by account
	offered     map[string]int // requests, by account
	refused     int
	longestWait time.Duration // of a refused request
	waited      int           // requests refused after a wait
	inProgress  []int         // by entry, in split mode
	entryLimit  int           // limit of each entry, 0 unless in split mode
}

// modelRequest is one request of the simulation.
type modelRequest struct {
	account  string
	arrived  time.Time
	entry    int
	measured bool // arrived in the measured span
	permit   uint64
}

const (
	modelKnee       = 16 // requests that the endpoint runs at full speed
	modelFirstToken = 200 * time.Millisecond
	modelService    = time.Second
	modelTarget     = 1100 * time.Millisecond // from arrival to the first token
	modelSpan       = 60 * time.Second
	modelTail       = 5 * time.Second  // after modelSpan, in which the last requests finish
	modelWarmup     = 20 * time.Second // before the measured span
	modelEntries    = 9
	smallAccounts   = 4 // accounts beside the greedy one
)

// modelCapacity is the number of requests per second that the endpoint
// completes at its knee.
const modelCapacity = modelKnee / 1.0

func newOverloadModel(full int) *overloadModel {
	m := &overloadModel{
		clock:      newClock(),
		random:     rand.New(rand.NewPCG(1, 2)),
		waiting:    map[uint64]*modelRequest{},
		inTime:     map[string]int{},
		offered:    map[string]int{},
		inProgress: make([]int, modelEntries),
	}
	setup := testSetup(conf.Ramp{Start: full, Step: 1, Full: full}, nil)
	m.core = openCore(m.clock.now, setup, 0)
	m.clock.every(ProbeEvery, func() {
		m.core.Set(m.clock.now, setup)
		report := ready(m.completed)
		report.Running = min(m.running, modelKnee)
		m.deliver(m.core.Probe(m.clock.now, m.clock.now, "i:1", report))
	})
	return m
}

// offer sends requests of an account at a rate, in requests per second.
func (m *overloadModel) offer(account string, rate float64) {
	pause := time.Duration(m.random.ExpFloat64() / rate * float64(time.Second))
	m.clock.after(pause, func() {
		m.arrive(account)
		m.offer(account, rate)
	})
}

// arrive processes a new request of an account.
func (m *overloadModel) arrive(account string) {
	// Callers use few entries, so the entries are loaded unevenly.
	entry := int(math.Sqrt(m.random.Float64()) * modelEntries)
	r := &modelRequest{account: account, arrived: m.clock.now, entry: entry, measured: m.measured()}
	if r.measured {
		m.offered[account]++
	}
	if m.entryLimit > 0 {
		m.arriveSplit(r)
		return
	}
	id, answers := m.core.Acquire(m.clock.now, &wire.AcquireRequest{
		Daemon: "d", Account: account, Tokens: 100, Wait: durationpb.New(modelTarget - 2*modelFirstToken),
	})
	m.waiting[id] = r
	m.deliver(answers)
	m.clock.after(modelTarget-2*modelFirstToken, func() {
		if m.waiting[id] != nil && m.core.Abandon(id) != nil {
			m.refuse(r)
			delete(m.waiting, id)
		}
	})
}

// arriveSplit processes a new request in split mode.
func (m *overloadModel) arriveSplit(r *modelRequest) {
	if m.inProgress[r.entry] >= m.entryLimit {
		m.refuse(r)
		return
	}
	m.inProgress[r.entry]++
	m.start(r)
}

func (m *overloadModel) deliver(answers []Answer) {
	for _, answer := range answers {
		r := m.waiting[answer.ID]
		delete(m.waiting, answer.ID)
		if answer.Response.Verdict != wire.Verdict_VERDICT_GRANTED {
			m.refuse(r)
			continue
		}
		r.permit = answer.Response.Permit
		m.start(r)
	}
}

func (m *overloadModel) refuse(r *modelRequest) {
	m.refused++
	m.longestWait = max(m.longestWait, m.clock.now.Sub(r.arrived))
	if m.clock.now.Sub(r.arrived) > 0 {
		m.waited++
	}
}

// start runs a request. Beyond the knee each request slows the others down more
// than in proportion, as when the cache no longer holds what they need.
func (m *overloadModel) start(r *modelRequest) {
	m.running++
	slow := math.Pow(max(1, float64(m.running)/modelKnee), 1.5)
	first := time.Duration(slow * float64(modelFirstToken))
	service := time.Duration(slow * float64(modelService) * (0.5 + m.random.Float64()))
	m.clock.after(service, func() { m.finish(r, m.clock.now.Add(first-service), first) })
}

func (m *overloadModel) finish(r *modelRequest, firstAt time.Time, first time.Duration) {
	m.running--
	m.completed++
	if r.measured && firstAt.Sub(r.arrived) <= modelTarget {
		m.inTime[r.account]++
	}
	if m.entryLimit > 0 {
		m.inProgress[r.entry]--
		return
	}
	_, answers := m.core.Release(m.clock.now, &wire.ReleaseRequest{
		Permit: r.permit, Ending: wire.Ending_ENDING_COMPLETE, FirstToken: durationpb.New(first),
	})
	m.deliver(answers)
}

// measured reports whether the present time is in the measured span.
func (m *overloadModel) measured() bool {
	since := m.clock.now.Sub(time.Unix(1000, 0))
	return since >= modelWarmup && since < modelSpan
}

// load runs the model at a multiple of its capacity. Each of the small accounts
// offers half of its fair share, and the greedy account offers the rest.
func (m *overloadModel) load(factor float64) {
	total := factor * modelCapacity
	small := min(total, modelCapacity) / (smallAccounts + 1) / 2
	for i := range smallAccounts {
		m.offer(fmt.Sprintf("small%d", i), small)
	}
	m.offer("greedy", total-smallAccounts*small)
	m.clock.run(modelSpan + modelTail)
}

// goodput returns the answers in time per second.
func (m *overloadModel) goodput() float64 {
	sum := 0
	for _, count := range m.inTime {
		sum += count
	}
	return float64(sum) / (modelSpan - modelWarmup).Seconds()
}

// smallestShare returns the smallest part of a small account's requests that
// were answered in time.
func (m *overloadModel) smallestShare() float64 {
	share := 1.0
	for i := range smallAccounts {
		account := fmt.Sprintf("small%d", i)
		share = min(share, float64(m.inTime[account])/float64(max(1, m.offered[account])))
	}
	return share
}

// loadFactors are the loads tested, as multiples of modelCapacity.
var loadFactors = []float64{0.5, 1, 2, 5}

// TestOverload checks the goodput beyond the knee and the share of the small
// accounts against their bounds.
func TestOverload(t *testing.T) {
	const (
		full        = 4 * modelKnee // as set by operators who don't know the knee
		minGoodput  = 0.9           // of the goodput at the knee
		minSmallest = 0.9           // of a small account's requests
	)
	is := is.New(t)
	var table strings.Builder
	fmt.Fprintf(&table, "%-6s %9s %9s %8s %8s %9s\n", "load", "goodput/s", "smallest", "refused", "waited", "longest")
	var knee float64
	for _, factor := range loadFactors {
		m := newOverloadModel(full)
		m.load(factor)
		fmt.Fprintf(&table, "%-6.1f %9.2f %9.3f %8d %8d %9v\n", factor, m.goodput(), m.smallestShare(), m.refused, m.waited, m.longestWait.Round(time.Millisecond))
		if factor == 1 {
			knee = m.goodput()
		}
		if factor >= 1 {
			is.True(m.goodput() >= minGoodput*knee) // goodput falls beyond the knee
		}
		if factor >= 2 {
			is.True(m.waited <= m.refused/4) // too few refused at once
		}
		is.True(m.smallestShare() >= minSmallest)                                // a small account lost its share
		is.True(m.longestWait <= modelTarget-2*modelFirstToken+time.Millisecond) // a refusal came too late
	}
	golden(t, "overload", table.String())
}

// TestLimitKinds logs the goodput with the adaptive limit and with fixed ones,
// and with central permits and with limits split among the entries, and
// compares it with a golden file.
func TestLimitKinds(t *testing.T) {
	kinds := []struct {
		name       string
		full       int
		fixed      bool
		entryLimit int // limit of each entry, 0 for central permits
		atLeast    float64
	}{
		{name: "adaptive to 64", full: 64},
		{name: "fixed 64", full: 64, fixed: true},
		{name: "fixed 16, the knee", full: 16, fixed: true},
		{name: "split, 1 an entry", full: 64, entryLimit: 1},
		{name: "split, 2 an entry", full: 64, entryLimit: 2},
		{name: "split, 7 an entry", full: 64, entryLimit: 7},
	}
	var table strings.Builder
	fmt.Fprintf(&table, "%-20s", "goodput/s (smallest)")
	for _, factor := range loadFactors {
		fmt.Fprintf(&table, "%16.1f", factor)
	}
	for _, kind := range kinds {
		fmt.Fprintf(&table, "\n%-20s", kind.name)
		for _, factor := range loadFactors {
			m := newOverloadModel(kind.full)
			m.entryLimit = kind.entryLimit
			m.core.fixed = kind.fixed
			m.load(factor)
			fmt.Fprintf(&table, "%8.2f (%.3f)", m.goodput(), m.smallestShare())
		}
	}
	golden(t, "limits", table.String()+"\n")
}
