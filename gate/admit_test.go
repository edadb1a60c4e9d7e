package gate

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/wire"
)

var start = time.Unix(1000, 0)

// request returns a request of an account that may wait for a second.
func request(account string) *wire.AcquireRequest {
	return &wire.AcquireRequest{
		Daemon: "d", Boot: 1, Account: account, Tokens: 10, Wait: durationpb.New(time.Second),
	}
}

// verdicts requests permits and returns the verdicts given at once.
// VERDICT_UNSPECIFIED means that the request waits.
func verdicts(c *Core, now time.Time, count int, r *wire.AcquireRequest) []wire.Verdict {
	var all []wire.Verdict
	for range count {
		id, answers := c.Acquire(now, r)
		verdict := wire.Verdict_VERDICT_UNSPECIFIED
		for _, answer := range answers {
			if answer.ID == id {
				verdict = answer.Response.Verdict
			}
		}
		all = append(all, verdict)
	}
	return all
}

const (
	granted   = wire.Verdict_VERDICT_GRANTED
	waits     = wire.Verdict_VERDICT_UNSPECIFIED
	busy      = wire.Verdict_VERDICT_BUSY
	throttled = wire.Verdict_VERDICT_THROTTLED
	notReady  = wire.Verdict_VERDICT_NOT_SERVING
	notGate   = wire.Verdict_VERDICT_NOT_GATE
)

// TestBlockReasons checks the block reason and the verdict for each condition
// that prevents permits.
func TestBlockReasons(t *testing.T) {
	setup := testSetup(conf.Ramp{Start: 2, Step: 1, Full: 2}, nil)
	report := ready(0)
	cases := []struct {
		name    string
		change  func(*Setup, *engine.Report)
		elapsed time.Duration
		reason  Bar
		verdict wire.Verdict
	}{
		{"none", func(*Setup, *engine.Report) {}, 0, Open, granted},
		{"another gate", func(s *Setup, _ *engine.Report) { s.Named = false }, 0, Unnamed, notGate},
		{"draining", func(s *Setup, _ *engine.Report) { s.Serving = false }, 0, NotServing, notReady},
		{"taken out", func(s *Setup, _ *engine.Report) { s.TakenOut = true }, 0, TakenOut, notReady},
		{"silent", func(*Setup, *engine.Report) {}, ProbeValidity + 1, Silent, notReady},
		{"older fence", func(_ *Setup, r *engine.Report) { r.Fence-- }, 0, OtherFence, notReady},
		{"newer fence", func(_ *Setup, r *engine.Report) { r.Fence++ }, 0, OtherFence, notReady},
		{"restarted", func(_ *Setup, r *engine.Report) { r.Boot++ }, 0, OtherBoot, notReady},
		{"loading", func(_ *Setup, r *engine.Report) { r.State = engine.Loading }, 0, NotReady, notReady},
		{"paused", func(*Setup, *engine.Report) {}, pauseLimit + time.Second, Waking, notReady},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := openCore(start, setup, 0)
			s, r := setup, report
			test.change(&s, &r)
			c.Set(start, s)
			c.Probe(start, start, "i:1", r)
			now := start.Add(test.elapsed)
			if test.reason == Silent {
				c.Set(now.Add(-pauseLimit/2), s)
			}
			is.Equal(c.BlockReason(now), test.reason)
			is.Equal(verdicts(c, now, 1, request("a"))[0], test.verdict)
		})
	}
}

// TestMissingMember checks that one silent member of several blocks the gate.
func TestMissingMember(t *testing.T) {
	is := is.New(t)
	setup := testSetup(conf.Ramp{}, nil)
	c := openCore(start, setup, 0)
	setup.Replica.Members = append(setup.Replica.Members, setup.Replica.Members[0])
	setup.Replica.Members[1].Instance = "j"
	setup.Replica.Members[1].Address = "j:1"
	c.Set(start, setup)
	is.Equal(c.BlockReason(start), Silent)
}

// TestLimits checks which requests are refused, queued and granted at each
// limit.
func TestLimits(t *testing.T) {
	accounts := map[string]conf.Account{
		"a": {}, "slow": {Rate: 1, Burst: 2}, "few": {Inflight: 1},
	}
	setup := testSetup(conf.Ramp{Start: 2, Step: 1, Full: 2}, accounts)
	setup.Limits.Queue = 2
	impatient := request("a")
	impatient.Wait = nil
	cases := []struct {
		name    string
		request *wire.AcquireRequest
		count   int
		want    []wire.Verdict
	}{
		{"limit, queue, full queue", request("a"), 5, []wire.Verdict{granted, granted, waits, waits, busy}},
		{"no wait", impatient, 3, []wire.Verdict{granted, granted, busy}},
		{"rate", request("slow"), 3, []wire.Verdict{granted, granted, throttled}},
		{"in progress", request("few"), 2, []wire.Verdict{granted, waits}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := openCore(start, setup, 0)
			is.Equal(verdicts(c, start, test.count, test.request), test.want)
		})
	}
}

// TestRetryAfter checks that a refusal contains the time after which to retry,
// computed from the rate at which permits are released.
func TestRetryAfter(t *testing.T) {
	is := is.New(t)
	c := openCore(start, testSetup(conf.Ramp{Start: 2, Step: 1, Full: 2}, nil), 0)
	c.meanHold = 4 * time.Second // so a permit is released every two seconds
	verdicts(c, start, 2, request("a"))
	_, answers := c.Acquire(start, request("a"))
	is.Equal(len(answers), 1)
	is.Equal(answers[0].Response.Verdict, busy)
	is.Equal(answers[0].Response.RetryAfter.AsDuration(), time.Second) // two seconds less its wait of one
}

// TestFullQueue checks that a full queue drops a request in favour of an
// account that has less than its share of the queue.
func TestFullQueue(t *testing.T) {
	is := is.New(t)
	setup := testSetup(conf.Ramp{Start: 1, Step: 1, Full: 1}, nil)
	setup.Limits.Queue = 3
	c := openCore(start, setup, 0)
	verdicts(c, start, 4, request("greedy"))
	id, answers := c.Acquire(start, request("small"))
	is.Equal(len(answers), 1)
	is.True(answers[0].ID != id) // the last request of account greedy was dropped
	is.Equal(answers[0].Response.Verdict, busy)
}

// TestServiceOrder checks the order of service for given weights, costs and
// priorities.
func TestServiceOrder(t *testing.T) {
	is := is.New(t)
	accounts := map[string]conf.Account{"a": {Weight: 1}, "b": {Weight: 2}}
	setup := testSetup(conf.Ramp{Start: 1, Step: 1, Full: 1}, accounts)
	c := openCore(start, setup, 0)
	_, answers := c.Acquire(start, request("a"))
	permit := answers[0].Response.Permit
	names := map[uint64]string{}
	for _, account := range []string{"a", "a", "a", "b", "b", "b", "b"} {
		id, _ := c.Acquire(start, request(account))
		names[id] = account
	}
	urgent := request("a")
	urgent.Priority = 1
	id, _ := c.Acquire(start, urgent)
	names[id] = "A"
	var order string
	for range len(names) {
		_, answers := c.Release(start, &wire.ReleaseRequest{Permit: permit, Ending: wire.Ending_ENDING_COMPLETE})
		is.Equal(len(answers), 1)
		order += names[answers[0].ID]
		permit = answers[0].Response.Permit
	}
	is.Equal(order, "bbAbbaaa")
}

// TestRunsAlone checks that a request that has to run alone waits until no
// other is in progress, and that others wait until it ends.
func TestRunsAlone(t *testing.T) {
	is := is.New(t)
	c := openCore(start, testSetup(conf.Ramp{Start: 4, Step: 1, Full: 4}, nil), 0)
	_, answers := c.Acquire(start, request("a"))
	first := answers[0].Response.Permit
	alone := request("a")
	alone.Alone = true
	is.Equal(verdicts(c, start, 1, alone), []wire.Verdict{waits})
	is.Equal(verdicts(c, start, 1, request("a")), []wire.Verdict{waits})
	_, answers = c.Release(start, &wire.ReleaseRequest{Permit: first, Ending: wire.Ending_ENDING_COMPLETE})
	is.Equal(len(answers), 1)
	is.True(answers[0].Response.Alone)
	is.Equal(c.ledger.inUse(), 1)
	_, answers = c.Release(start, &wire.ReleaseRequest{
		Permit: answers[0].Response.Permit, Ending: wire.Ending_ENDING_COMPLETE,
	})
	is.Equal(len(answers), 1)
	is.True(!answers[0].Response.Alone)
}

// TestReleaseTwice checks that a repeated release frees one permit.
func TestReleaseTwice(t *testing.T) {
	is := is.New(t)
	c := openCore(start, testSetup(conf.Ramp{Start: 4, Step: 1, Full: 4}, nil), 0)
	_, answers := c.Acquire(start, request("a"))
	verdicts(c, start, 1, request("a"))
	release := &wire.ReleaseRequest{Permit: answers[0].Response.Permit, Ending: wire.Ending_ENDING_COMPLETE}
	c.Release(start, release)
	c.Release(start, release)
	is.Equal(c.ledger.inUse(), 1)
}

// TestLostReleases checks that permits whose releases were lost don't occupy
// the replica for ever: reports show that the requests ended, and the permits
// expire at their maximum age.
func TestLostReleases(t *testing.T) {
	is := is.New(t)
	setup := testSetup(conf.Ramp{Start: 2, Step: 1, Full: 2}, nil)
	c := openCore(start, setup, 0)
	verdicts(c, start, 2, request("a"))
	now := start
	for now.Sub(start) < PermitValidity+ReportLag+reconcileWindow+2*ProbeEvery {
		now = now.Add(ProbeEvery)
		c.Set(now, setup)
		c.Probe(now, now, "i:1", ready(2))
	}
	is.Equal(c.ledger.inUse(), 0)
	is.Equal(len(c.ledger.held), 2)
	c.Tick(start.Add(c.maxPermitAge()))
	is.Equal(len(c.ledger.held), 0)
}

// TestColdEndpoint checks that the ramp starts again when first tokens are as
// late as those of a cold endpoint, though its boot number is unchanged.
func TestColdEndpoint(t *testing.T) {
	is := is.New(t)
	setup := testSetup(conf.Ramp{Start: 1, Step: 4, Full: 16}, nil)
	c := openCore(start, setup, 200)
	is.Equal(c.Limit(), 16)
	serve := func(count int, first time.Duration) {
		for range count {
			_, answers := c.Acquire(start, request("a"))
			c.Release(start, &wire.ReleaseRequest{
				Permit:     answers[0].Response.Permit,
				Ending:     wire.Ending_ENDING_COMPLETE,
				FirstToken: durationpb.New(first),
			})
		}
	}
	serve(20, 100*time.Millisecond)
	is.Equal(c.Limit(), 16)
	serve(coldSamples-1, 900*time.Millisecond)
	is.True(c.Limit() > 4)
	serve(1, 900*time.Millisecond)
	is.Equal(c.Limit(), 1)
	for now := start; now.Sub(start) <= 2*coldTime; now = now.Add(ProbeEvery) {
		c.Probe(now, now, "i:1", ready(200+20+coldSamples)) // out of date, includes work from before the endpoint turned cold
	}
	is.Equal(c.Limit(), 1)
	now := start.Add(3 * coldTime)
	c.Probe(now, now, "i:1", ready(200+20+coldSamples+8))
	is.Equal(c.Limit(), 3)
}

// TestCache checks the estimate of the prefix cache with late and lost events.
func TestCache(t *testing.T) {
	is := is.New(t)
	c := newCache()
	c.add(start, []uint64{1, 2, 3})
	is.Equal(c.match([]uint64{1, 2, 4}), 2)
	event := func(sequence uint64, change engine.Change, block uint64) engine.Event {
		return engine.Event{Sequence: sequence, Change: change, Block: block}
	}
	c.apply(start.Add(time.Second), engine.Feed{Events: []engine.Event{
		event(1, engine.Stored, 9), event(2, engine.Evicted, 2),
	}})
	is.Equal(c.match([]uint64{1, 2, 3}), 1)
	is.Equal(c.match([]uint64{9}), 1)
	c.add(start.Add(2*time.Second), []uint64{5})
	c.apply(start.Add(3*time.Second), engine.Feed{Events: []engine.Event{event(7, engine.Stored, 6)}})
	is.Equal(c.match([]uint64{9}), 0) // its eviction may be among the lost events
	is.Equal(c.match([]uint64{5}), 1) // more recent than the gap
	is.Equal(c.match([]uint64{6}), 1)
	c.apply(start.Add(4*time.Second), engine.Feed{Boot: 8})
	is.Equal(c.match([]uint64{6}), 0) // another boot has nothing cached
}
