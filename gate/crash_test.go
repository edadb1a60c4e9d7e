package gate

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"
	"pgregory.net/rapid"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/wire"
)

// crashCluster simulates replicas, each with a gate in its own daemon, and
// requests of which one crashes every endpoint that runs it.
type crashCluster struct {
	now        time.Time
	cores      []*Core
	running    []map[*crashRequest]uint64 // permits in use, by replica
	boots      []uint64
	crashCount int
}

// crashRequest is a request of the simulation.
type crashRequest struct {
	fingerprint uint64
	crashes     []string // as reported to its entry
	served      bool
	refused     bool
	fatal       bool // crashes every endpoint that runs it
}

func newCrashCluster(replicas int) *crashCluster {
	c := &crashCluster{now: time.Unix(1000, 0)}
	for i := range replicas {
		setup := c.setup(i, 7)
		c.cores = append(c.cores, openCore(c.now, setup, 100))
		c.running = append(c.running, map[*crashRequest]uint64{})
		c.boots = append(c.boots, 7)
	}
	return c
}

func (c *crashCluster) setup(replica int, boot uint64) Setup {
	setup := testSetup(conf.Ramp{Start: 4, Step: 1, Full: 8}, nil)
	setup.Replica.ID = fmt.Sprintf("r%d", replica)
	setup.Replica.Members[0].Boot = boot
	return setup
}

// acquire requests a permit for a request at a replica. It returns false if the
// request has to be tried again later.
func (c *crashCluster) acquire(replica int, r *crashRequest) bool {
	core := c.cores[replica]
	id, answers := core.Acquire(c.now, &wire.AcquireRequest{
		Account: "a", Fingerprint: r.fingerprint, Crashes: r.crashes, Tokens: 1, Wait: durationpb.New(time.Second),
	})
	core.Abandon(id)
	for _, answer := range answers {
		if answer.ID != id {
			continue
		}
		switch answer.Response.Verdict {
		case wire.Verdict_VERDICT_GRANTED:
			c.running[replica][r] = answer.Response.Permit
			return true
		case wire.Verdict_VERDICT_SUSPECT:
			r.refused = true
			return true
		}
	}
	return false
}

// finishAll ends the requests that run at a replica. If one of them is fatal,
// the endpoint crashes; otherwise all complete.
func (c *crashCluster) finishAll(replica int) {
	ending := wire.Ending_ENDING_COMPLETE
	for r := range c.running[replica] {
		if r.fatal {
			ending = wire.Ending_ENDING_CRASHED
		}
	}
	for r, permit := range c.running[replica] {
		r.served = ending == wire.Ending_ENDING_COMPLETE
		response, _ := c.cores[replica].Release(c.now, &wire.ReleaseRequest{Permit: permit, Ending: ending})
		r.crashes = append(r.crashes, response.Crashes...)
	}
	clear(c.running[replica])
	if ending == wire.Ending_ENDING_CRASHED {
		c.crash(replica)
	}
}

// crash restarts an endpoint and passes the crash reports to the peers.
func (c *crashCluster) crash(replica int) {
	c.crashCount++
	c.boots[replica]++
	reports := c.cores[replica].crashes.TakeUnsent()
	for _, core := range c.cores {
		for _, report := range reports {
			core.crashes.Apply(report)
		}
	}
	for range 10 {
		c.now = c.now.Add(ProbeEvery)
		c.refresh()
	}
}

// TestCrashingRequest checks on random histories that a request which crashes
// endpoints crashes at most two of them, whatever gates it reaches, also when
// its caller sends it again as a new request, and that all other requests are
// served.
func TestCrashingRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const replicas = 3
		c := newCrashCluster(replicas)
		crasher := &crashRequest{fingerprint: 1, fatal: true}
		requests := []*crashRequest{crasher}
		for i := range rapid.IntRange(1, 12).Draw(t, "others") {
			requests = append(requests, &crashRequest{fingerprint: uint64(i + 2)})
		}
		for range 400 {
			r := requests[rapid.IntRange(0, len(requests)-1).Draw(t, "request")]
			replica := rapid.IntRange(0, replicas-1).Draw(t, "replica")
			if r == crasher && rapid.Bool().Draw(t, "again") {
				r.refused, r.crashes = false, nil
			}
			if !r.served && !r.refused && !c.isRunning(r) {
				c.acquire(replica, r)
			}
			if rapid.IntRange(0, 3).Draw(t, "finish") == 0 {
				c.finishAll(replica)
			}
			c.now = c.now.Add(10 * time.Millisecond)
			c.refresh()
		}
		c.retryAll(requests)
		c.check(t, requests)
	})
}

// isRunning reports whether a request is in progress at a replica.
func (c *crashCluster) isRunning(r *crashRequest) bool {
	for _, running := range c.running {
		if _, ok := running[r]; ok {
			return true
		}
	}
	return false
}

// refresh gives the cores the present view and new probe answers.
func (c *crashCluster) refresh() {
	for i, core := range c.cores {
		core.Set(c.now, c.setup(i, c.boots[i]))
		report := ready(0)
		report.Boot = c.boots[i]
		core.Probe(c.now, c.now, "i:1", report)
	}
}

// retryAll tries all requests again until they are answered.
func (c *crashCluster) retryAll(requests []*crashRequest) {
	for range 50 {
		for _, r := range requests {
			for i := range c.cores {
				c.finishAll(i)
				if !r.served && !r.refused && !c.isRunning(r) {
					c.acquire(i, r)
				}
			}
		}
		c.now = c.now.Add(time.Second / 2)
		c.refresh()
	}
}

// check fails the test if more endpoints crashed than allowed, if a harmless
// request was not served, or if the fatal one was.
func (c *crashCluster) check(t *rapid.T, requests []*crashRequest) {
	if c.crashCount > maxCrashes {
		t.Fatalf("%d endpoints crashed", c.crashCount)
	}
	for _, r := range requests {
		if !r.fatal && !r.served {
			t.Fatalf("request %d was not served, refused %v", r.fingerprint, r.refused)
		}
		if r.fatal && r.served {
			t.Fatal("the fatal request was served")
		}
	}
}

// TestCrashRecord checks how crashes are counted, reported to peers, removed
// and dropped.
func TestCrashRecord(t *testing.T) {
	is := is.New(t)
	r := NewCrashRecord()
	r.AddLocal(1, "r/1")
	r.AddLocal(1, "r/1") // the same crash counts once
	is.True(r.Suspect(1))
	is.True(!r.Rejected(1))
	is.Equal(len(r.TakeUnsent()), 1)
	is.True(r.Add(1, "r/2"))
	is.True(r.Rejected(1))
	is.Equal(len(r.TakeUnsent()), 0) // a peer's report is not passed on
	is.True(!r.Add(0, "r/1"))        // no fingerprint
	r.RemoveLocal(1)
	is.True(r.Rejected(1)) // a rejected request stays rejected
	r.AddLocal(2, "r/2")
	r.RemoveLocal(2) // it was answered
	r.AddLocal(2, "r/9")
	is.True(!r.Rejected(2))
	peer := NewCrashRecord()
	for _, report := range r.TakeUnsent() {
		peer.Apply(report)
	}
	is.Equal(peer.Crashes(2), []string{"r/9"})
	for i := range maxSuspects {
		r.Add(uint64(i+10), "r/1")
	}
	is.Equal(len(r.crashes), maxSuspects)
	is.True(!r.Suspect(1)) // the oldest was dropped
}
