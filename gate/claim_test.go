package gate

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/wire"
)

// TestClaim holds when a new fencing number, or a handover, spares the wait
// for the gate before: only while no other gate can have stood in between.
func TestClaim(t *testing.T) {
	const spared = ClaimWait - ProbeFresh
	cases := []struct {
		name  string
		gap   time.Duration // from the last standing to the new order
		bar   Bar
		hands bool // whether this gate may still hand over
	}{
		{"at once", 0, Open, true},
		{"in time", spared - 1, Open, true},
		{"too late", spared, PriorGate, false},
		{"long ago", time.Hour, PriorGate, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			setup := testSetup(conf.Ramp{Start: 2, Step: 1, Full: 2}, nil)
			next := setup
			next.Replica.Fence++
			report := ready(0)
			report.Fence = next.Replica.Fence
			now := start.Add(test.gap)

			c := openCore(start, setup, 0)
			c.Probe(now, now, "i:1", report)
			c.set = now // the process was not paused
			c.Set(now, next)
			is.Equal(c.Bar(now), test.bar)

			c = openCore(start, setup, 0)
			_, left := c.Handover(now, "d", next.Replica.Fence)
			is.Equal(left > 0, test.hands)
		})
	}
}

// TestSameNaming holds when a gate that stood long ago is spared the wait: only
// when no other daemon can have been the gate since.
func TestSameNaming(t *testing.T) {
	cases := []struct {
		name   string
		change func(c *Core, next *Setup)
		bar    Bar
	}{
		{"named once", func(*Core, *Setup) {}, Open},
		{"named anew", func(_ *Core, next *Setup) { next.Replica.Named = next.Replica.Fence }, PriorGate},
		{"naming unknown", func(_ *Core, next *Setup) { next.Replica.Named = 0 }, PriorGate},
		{"stood beside another", func(c *Core, _ *Setup) { c.setup.Weak = true }, PriorGate},
		{"process paused", func(c *Core, _ *Setup) { c.set = start.Add(-time.Hour) }, PriorGate},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			setup := testSetup(conf.Ramp{Start: 2, Step: 1, Full: 2}, nil)
			setup.Replica.Named = setup.Replica.Fence
			c := openCore(start, setup, 0)
			now := start.Add(time.Minute)
			c.set = now // the process was not paused
			next := setup
			next.Replica.Fence++
			test.change(c, &next)
			c.Set(now, next)
			now = now.Add(wakeWait)
			c.set = now
			report := ready(0)
			report.Fence = next.Replica.Fence
			c.Probe(now, now, "i:1", report)
			c.Set(now, next)
			is.Equal(c.Bar(now), test.bar)
		})
	}
}

// TestTake holds which handovers a gate takes, and what it knows then.
func TestTake(t *testing.T) {
	setup := testSetup(conf.Ramp{Start: 1, Step: 1, Full: 4}, nil)
	before := openCore(start, setup, 3)
	verdicts(before, start, 2, request("a"))
	next := setup
	next.Replica.Fence++
	request, left := before.Handover(start, "d", next.Replica.Fence)
	cases := []struct {
		name   string
		change func(*Setup, *wire.HandoverRequest)
		taken  bool
	}{
		{"as named", func(*Setup, *wire.HandoverRequest) {}, true},
		{"another fence", func(_ *Setup, r *wire.HandoverRequest) { r.Fence-- }, false},
		{"not the gate", func(s *Setup, _ *wire.HandoverRequest) { s.Named = false }, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.True(left > 0)
			s := next
			r := &wire.HandoverRequest{Fence: request.Fence, Held: request.Held, Done: request.Done, Limit: request.Limit, Boot: request.Boot}
			test.change(&s, r)
			c := NewCore(1<<40, NewBook())
			c.Set(start, s)
			taken, _ := c.Take(start, r)
			is.Equal(taken, test.taken)
			if !taken {
				return
			}
			report := ready(0) // which lags
			report.Fence = s.Replica.Fence
			c.Probe(start, start, "i:1", report)
			is.Equal(c.Bar(start), Open)
			is.Equal(c.ledger.inUse(), 2)
			is.Equal(c.Limit(), 4) // by the work that was handed over
			again, _ := c.Take(start, r)
			is.True(!again)
		})
	}
}

// TestAdopted holds how the load that a crashed gate left is counted down: by
// each release that tells of an end after it was counted, once, and by reports.
func TestAdopted(t *testing.T) {
	is := is.New(t)
	setup := testSetup(conf.Ramp{Start: 8, Step: 1, Full: 8}, nil)
	c := NewCore(1<<32, NewBook())
	report := ready(0)
	now := start
	pass := func(span time.Duration, load int) {
		report.Running = load
		for end := now.Add(span); now.Before(end); now = now.Add(ProbeEvery / 4) {
			c.Set(now, setup)
			c.Probe(now, now, "i:1", report)
		}
	}
	pass(ClaimWait, 5)
	is.Equal(c.Bar(now), PriorGate)
	pass(ProbeEvery, 5)
	is.Equal(c.ledger.inUse(), 5)
	release := func(permit uint64, age time.Duration) {
		c.Release(now, &wire.ReleaseRequest{
			Permit: permit, Ending: wire.Ending_ENDING_COMPLETE, Age: durationpb.New(age),
		})
	}
	release(1, time.Minute) // it ended before the load was counted
	is.Equal(c.ledger.inUse(), 5)
	release(2, 0)
	is.Equal(c.ledger.inUse(), 4)
	release(2, 0)
	is.Equal(c.ledger.inUse(), 4)
	pass(ReportLag/2, 3) // too early to be about what was adopted
	is.Equal(c.ledger.inUse(), 4)
	pass(PermitLife+ReportLag, 3)
	is.Equal(c.ledger.inUse(), 3)
}

// TestCrashStops shows that a gate stops at the first word of a crash, before
// a probe shows another boot.
func TestCrashStops(t *testing.T) {
	is := is.New(t)
	c := openCore(start, testSetup(conf.Ramp{Start: 2, Step: 1, Full: 2}, nil), 0)
	_, answers := c.Ask(start, request("a"))
	c.Release(start, &wire.ReleaseRequest{Permit: answers[0].Response.Permit, Ending: wire.Ending_ENDING_CRASHED})
	is.Equal(c.Bar(start), Silent)
	later := start.Add(time.Millisecond)
	c.Probe(later, start, "i:1", ready(0)) // sent too early to have seen it
	is.Equal(c.Bar(later), Silent)
	c.Probe(later, later, "i:1", ready(0))
	is.Equal(c.Bar(later), Open)
}
