package gate

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/wire"
)

// TestRecentClaim checks when a new fencing token or a handover spares the wait
// for the previous gate: only while no other gate can have held a claim in
// between.
func TestRecentClaim(t *testing.T) {
	const skipWindow = ClaimWait - ProbeValidity
	cases := []struct {
		name      string
		elapsed   time.Duration // from the last confirmation of the claim to the new order
		reason    Bar
		handsOver bool // this gate may still hand over
	}{
		{"at once", 0, Open, true},
		{"in time", skipWindow - 1, Open, true},
		{"too late", skipWindow, PriorGate, false},
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
			now := start.Add(test.elapsed)

			c := openCore(start, setup, 0)
			c.Probe(now, now, "i:1", report)
			c.setAt = now // the process was not paused
			c.Set(now, next)
			is.Equal(c.BlockReason(now), test.reason)

			c = openCore(start, setup, 0)
			_, remaining := c.Handover(now, "d", next.Replica.Fence)
			is.Equal(remaining > 0, test.handsOver)
		})
	}
}

// TestUnchangedNaming checks when a gate that held its claim long ago is spared
// the wait: only if no other daemon can have been the gate since.
func TestUnchangedNaming(t *testing.T) {
	cases := []struct {
		name   string
		change func(c *Core, next *Setup)
		reason Bar
	}{
		{"named once", func(*Core, *Setup) {}, Open},
		{"named anew", func(_ *Core, next *Setup) { next.Replica.GateFence = next.Replica.Fence }, PriorGate},
		{"naming unknown", func(_ *Core, next *Setup) { next.Replica.GateFence = 0 }, PriorGate},
		{"another gate may have been active", func(c *Core, _ *Setup) { c.setup.Reduced = true }, PriorGate},
		{"process paused", func(c *Core, _ *Setup) { c.setAt = start.Add(-time.Hour) }, PriorGate},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			setup := testSetup(conf.Ramp{Start: 2, Step: 1, Full: 2}, nil)
			setup.Replica.GateFence = setup.Replica.Fence
			c := openCore(start, setup, 0)
			now := start.Add(time.Minute)
			c.setAt = now // the process was not paused
			next := setup
			next.Replica.Fence++
			test.change(c, &next)
			c.Set(now, next)
			now = now.Add(resumeWait)
			c.setAt = now
			report := ready(0)
			report.Fence = next.Replica.Fence
			c.Probe(now, now, "i:1", report)
			c.Set(now, next)
			is.Equal(c.BlockReason(now), test.reason)
		})
	}
}

// TestTakeOver checks which handovers a gate accepts, and its state after that.
func TestTakeOver(t *testing.T) {
	setup := testSetup(conf.Ramp{Start: 1, Step: 1, Full: 4}, nil)
	before := openCore(start, setup, 3)
	verdicts(before, start, 2, request("a"))
	next := setup
	next.Replica.Fence++
	request, remaining := before.Handover(start, "d", next.Replica.Fence)
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
			is.True(remaining > 0)
			s := next
			r := &wire.HandoverRequest{Fence: request.Fence, Held: request.Held, Done: request.Done, Limit: request.Limit, Boot: request.Boot}
			test.change(&s, r)
			c := NewCore(1<<40, NewCrashRecord())
			c.Set(start, s)
			taken, _ := c.TakeOver(start, r)
			is.Equal(taken, test.taken)
			if !taken {
				return
			}
			report := ready(0) // out of date
			report.Fence = s.Replica.Fence
			c.Probe(start, start, "i:1", report)
			is.Equal(c.BlockReason(start), Open)
			is.Equal(c.ledger.inUse(), 2)
			is.Equal(c.Limit(), 4) // from the completions that were handed over
			takenAgain, _ := c.TakeOver(start, r)
			is.True(!takenAgain)
		})
	}
}

// TestAdoptedLoad checks how the load left by a crashed gate is counted down:
// once for each release of a request that ended after the load was counted, and
// by reports.
func TestAdoptedLoad(t *testing.T) {
	is := is.New(t)
	setup := testSetup(conf.Ramp{Start: 8, Step: 1, Full: 8}, nil)
	c := NewCore(1<<32, NewCrashRecord())
	report := ready(0)
	now := start
	advance := func(span time.Duration, load int) {
		report.Running = load
		for end := now.Add(span); now.Before(end); now = now.Add(ProbeEvery / 4) {
			c.Set(now, setup)
			c.Probe(now, now, "i:1", report)
		}
	}
	advance(ClaimWait, 5)
	is.Equal(c.BlockReason(now), PriorGate)
	advance(ProbeEvery, 5)
	is.Equal(c.ledger.inUse(), 5)
	release := func(permit uint64, age time.Duration) {
		c.Release(now, &wire.ReleaseRequest{
			Permit: permit, Ending: wire.Ending_ENDING_COMPLETE, Age: durationpb.New(age),
		})
	}
	release(1, time.Minute) // ended before the load was counted
	is.Equal(c.ledger.inUse(), 5)
	release(2, 0)
	is.Equal(c.ledger.inUse(), 4)
	release(2, 0)
	is.Equal(c.ledger.inUse(), 4)
	advance(ReportLag/2, 3) // too early to cover the adopted requests
	is.Equal(c.ledger.inUse(), 4)
	advance(PermitValidity+ReportLag, 3)
	is.Equal(c.ledger.inUse(), 3)
}

// TestCrashStops checks that a gate stops at the first report of a crash,
// before a probe shows another boot.
func TestCrashStops(t *testing.T) {
	is := is.New(t)
	c := openCore(start, testSetup(conf.Ramp{Start: 2, Step: 1, Full: 2}, nil), 0)
	_, answers := c.Acquire(start, request("a"))
	c.Release(start, &wire.ReleaseRequest{Permit: answers[0].Response.Permit, Ending: wire.Ending_ENDING_CRASHED})
	is.Equal(c.BlockReason(start), Silent)
	later := start.Add(time.Millisecond)
	c.Probe(later, start, "i:1", ready(0)) // sent before the crash was reported
	is.Equal(c.BlockReason(later), Silent)
	c.Probe(later, later, "i:1", ready(0))
	is.Equal(c.BlockReason(later), Open)
}
