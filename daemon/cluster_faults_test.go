package daemon_test

import (
	"cmp"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"clementinehead.example/chead/admin"
	"clementinehead.example/chead/fakes"
)

// results are the results of a load.
type results struct {
	mu      sync.Mutex
	served  int
	refused map[string]int // by code and whether the request ran
	faults  []string
}

// load sends count completions at a fixed interval and checks each response. It
// requests the entry addresses again after each second, since their list is valid
// for 1 s. One in oneIn requests is not repeatable.
func (c *cluster) load(count int, every time.Duration, oneIn int) *results {
	sum := &results{refused: map[string]int{}}
	caller := c.network.Client("caller")
	var group sync.WaitGroup
	var addresses []string
	var asked time.Time
	for i := range count {
		if time.Since(asked) > time.Second {
			addresses = c.entries(caller)
			asked = time.Now()
		}
		prompt := fmt.Sprintf("request %d", i)
		to := addresses[i%len(addresses)]
		once := i%oneIn == 0
		group.Go(func() { sum.add(c, prompt, once, c.complete(caller, to, prompt, "", once)) })
		time.Sleep(every)
	}
	group.Wait()
	return sum
}

// add records a response and checks it against the runs of the request. A
// request to a daemon that was isolated may fail without a response.
func (s *results) add(c *cluster, prompt string, once bool, a answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := c.counter.Count(prompt)
	switch {
	case a.err != nil && c.isUnreachable(a.to):
		s.refused["lost"]++
	case a.err != nil:
		s.fault("%s: no answer: %v", prompt, a.err)
	case a.status == http.StatusOK && a.text != fakes.Answer(prompt, tokens):
		s.fault("%s: wrong answer %q", prompt, a.text)
	case a.status == http.StatusOK:
		s.served++
	default:
		s.refused[a.reason.Code+" "+a.reason.Ran]++
	}
	if once && runs > 1 {
		s.fault("%s: ran %d times", prompt, runs)
	}
	if a.reason.Ran == "no" && runs > 0 {
		s.fault("%s: refused as not run, ran %d times", prompt, runs)
	}
}

func (s *results) fault(format string, values ...any) {
	s.faults = append(s.faults, fmt.Sprintf(format, values...))
}

// detection is the time within which a fault is detected. The constant
// statusPoll is the longest time for one poll of the status.
const (
	detection  = 3 * time.Second
	statusPoll = 50 * time.Millisecond
)

// TestSystemUnderFaults runs a load of 15 s on the whole system and causes one
// fault after 5 s. Each caller must get its own complete answer or a refusal that
// correctly states whether the request ran; a request that is not repeatable must
// run at most once; no cold endpoint may be overloaded; and all replicas must
// serve again within a time limit.
func TestSystemUnderFaults(t *testing.T) {
	tests := []struct {
		name     string
		fault    func(c *cluster)
		recovery time.Duration // limit after detection; statusPoll if all replicas keep serving, 0 if they cannot all serve
		served   int           // smallest number of served requests, of 150
		oneIn    int           // one in this many requests is not repeatable, 0 for 5
	}{
		{name: "none", fault: func(*cluster) {}, recovery: statusPoll, served: 125},
		{name: "first member dies", fault: func(c *cluster) { c.kill(0) }, recovery: 5 * time.Second, served: 120},
		{name: "second member dies", fault: func(c *cluster) { c.kill(1) }, recovery: 5 * time.Second, served: 120},
		{name: "first member restarts", fault: func(c *cluster) { c.engines[c.members()[0]].Restart() }, recovery: 5 * time.Second, served: 120},
		{name: "first member turns cold", fault: func(c *cluster) { c.engines[c.members()[0]].RestartCold() }, recovery: 5 * time.Second, served: 120},
		{name: "first member turns cold under requests that run at most once", fault: func(c *cluster) { c.engines[c.members()[0]].RestartCold() }, recovery: 5 * time.Second, served: 115, oneIn: 1},
		{name: "second member pauses", fault: func(c *cluster) { c.engines[c.members()[1]].Pause() }, recovery: 5 * time.Second, served: 120},
		{name: "connections to endpoints go silent", fault: func(c *cluster) { c.silence() }, recovery: statusPoll, served: 120},
		{name: "store down", fault: func(c *cluster) { c.store.Down(true) }, recovery: statusPoll, served: 100},
		{name: "store hangs", fault: func(c *cluster) { c.store.Hang(true) }, recovery: statusPoll, served: 100},
		{name: "store loses answers", fault: func(c *cluster) { c.store.LoseAnswers(20) }, recovery: statusPoll, served: 120},
		{name: "a fabric domain is cut off and returns", fault: func(c *cluster) { c.cutNorth(5 * time.Second) }, recovery: 10 * time.Second, served: 120},
		{name: "a daemon leaves", fault: func(c *cluster) { c.daemons["d2"]() }, recovery: 5 * time.Second, served: 120},
		{name: "a daemon is cut off", fault: func(c *cluster) { c.isolate("d2") }, recovery: 10 * time.Second, served: 110},
		{name: "keeper and gate are cut off while the store is down", fault: func(c *cluster) { c.store.Down(true); c.isolate("d3") }, served: 95},
		{name: "a request crashes endpoints", fault: func(c *cluster) { c.sendCrasher() }, recovery: 10 * time.Second, served: 90},
		{name: "a failure domain is taken out", fault: func(c *cluster) { c.drain("north") }, served: 120},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			withCluster(t, func(c *cluster) {
				var recovered time.Duration
				var watch sync.WaitGroup
				watch.Go(func() {
					time.Sleep(5 * time.Second)
					test.fault(c)
					time.Sleep(detection)
					if test.recovery > 0 {
						recovered = c.waitUntil("all replicas serve again", c.allServing)
					}
				})
				sum := c.load(150, 100*time.Millisecond, cmp.Or(test.oneIn, 5))
				watch.Wait()
				t.Logf("served %d, refused %v, recovered %v after detection", sum.served, sum.refused, recovered)
				if recovered > test.recovery {
					t.Errorf("recovered after %s", recovered)
				}
				if sum.served < test.served {
					t.Errorf("served %d", sum.served)
				}
				c.verify(sum)
			})
		})
	}
}

// verify reports faults of the requests and overloads of endpoints.
func (c *cluster) verify(sum *results) {
	for _, fault := range sum.faults {
		c.t.Error(fault)
	}
	for id, e := range c.engines {
		for _, v := range e.Violations() {
			if v.Breach == fakes.Overload {
				c.t.Errorf("%s overloaded at %s: %s", id, v.At, v.Note)
			}
		}
	}
}

// kill stops the host of the member with the given rank of the first replica.
func (c *cluster) kill(rank int) {
	id := c.members()[rank]
	c.engines[id].Kill()
	c.network.Kill(id)
}

// silence stops the transfer of data on all existing connections between daemons
// and endpoints, without closing them.
func (c *cluster) silence() {
	for id := range c.engines {
		for _, d := range []string{"d1", "d2", "d3"} {
			c.network.Silence(d, id)
		}
	}
}

// cutNorth isolates the endpoints of the northern fabric domain for the time d.
func (c *cluster) cutNorth(d time.Duration) {
	for i := range 3 {
		c.network.Cut(fmt.Sprintf("north-%d", i), fakes.AnyHost)
	}
	time.Sleep(d)
	for i := range 3 {
		c.network.Heal(fmt.Sprintf("north-%d", i), fakes.AnyHost)
	}
}

// isolate disconnects a daemon from all other hosts.
func (c *cluster) isolate(id string) {
	c.mu.Lock()
	c.unreachable[id] = true
	c.mu.Unlock()
	c.network.Cut(id, fakes.AnyHost)
	c.network.Reset(id, fakes.AnyHost)
}

// sendCrasher sends a request that crashes the endpoint that runs it. It sends
// the request four times and checks that it is never served and runs at most
// twice in total.
func (c *cluster) sendCrasher() {
	caller := c.network.Client("poisoner")
	for range 4 {
		a := c.complete(caller, "d1:80", "poison", fakes.CrashUser, false)
		if a.status == http.StatusOK {
			c.t.Error("the crashing request was served")
		}
	}
	if runs := c.counter.Count("poison"); runs > 2 {
		c.t.Errorf("the crashing request ran %d times", runs)
	}
}

// drainLimit is the time after a drain within which an endpoint may still receive
// new requests.
const drainLimit = 3 * time.Second

// sendToNorth sends requests for 6 s to a daemon of the northern failure domain,
// regardless of the entry addresses that the system announces.
func (c *cluster) sendToNorth(count int) {
	caller := c.network.Client("insistent")
	var group sync.WaitGroup
	for i := range count {
		prompt := fmt.Sprintf("insistent %d", i)
		group.Go(func() { c.complete(caller, "d1:80", prompt, "", false) })
		time.Sleep(2 * drainLimit / time.Duration(count))
	}
	group.Wait()
}

// drain takes a failure domain out of service and checks that its endpoints
// begin no new request after drainLimit.
func (c *cluster) drain(domain string) {
	move := admin.ServiceChange{ID: "e2", Who: "test", Domain: domain}
	if !c.admin(http.MethodPost, "drain", move, nil) {
		c.t.Fatal("the drain was refused")
	}
	accepted := time.Now()
	c.sendToNorth(60)
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range 3 {
		id := fmt.Sprintf("%s-%d", domain, i)
		if late := c.begun[id].Sub(accepted); late > drainLimit {
			c.t.Errorf("%s began a request %s after it was taken out", id, late)
		}
	}
}
