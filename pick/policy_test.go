package pick

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// golden compares a table with testdata/name, or writes it there with -update.
func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs; got:\n%s\nwant:\n%s", name, got, want)
	}
}

// second is one second of a load: the requests that arrive, and the slots in service.
type second struct {
	arrivals int
	slots    int
}

// overload is the load of one of nine daemons during an incident: callers retry for
// four seconds, then a failure domain is lost for four.
var overload = []second{
	{16, 22},
	{16, 22},
	{16, 20},
	{30, 20},
	{30, 20},
	{30, 18},
	{30, 18},
	{16, 18},
	{16, 18},
	{16, 12},
	{16, 12},
	{16, 12},
	{16, 12},
	{16, 16},
	{16, 18},
	{16, 20},
	{16, 20},
	{16, 20},
}

// burst is a load that exceeds the capacity of the endpoints for one second.
var burst = []second{{16, 24}, {16, 24}, {34, 24}, {16, 24}, {16, 24}, {16, 24}}

const (
	serviceTime = 1100 * time.Millisecond // time that a request keeps its slot
	firstEvent  = 150 * time.Millisecond  // time from the slot to the first event
	target      = 300 * time.Millisecond
	deadline    = 6 * time.Second
)

// policy decides which requests wait, and in which order they get slots.
type policy struct {
	name  string
	admit func(QueueState) Decision
	order func(*queue, time.Time) []*waiter
}

// singleQueue is the baseline policy: all requests wait, first come, first served.
var singleQueue = policy{
	name: "one line for all",
	admit: func(state QueueState) Decision {
		if expectedWait(state.InTime+state.Late+1, state.FreeRate) <= state.MaxWait {
			return Decision{Wait: true}
		}
		return Decision{RetryAfter: minRetryAfter}
	},
	order: func(q *queue, _ time.Time) []*waiter { return append([]*waiter(nil), q.waiting...) },
}

var inTimeFirst = policy{name: "in time first", admit: Admit, order: func(q *queue, now time.Time) []*waiter { return q.order(now, nil) }}

// outcomes counts requests by how they ended.
type outcomes struct{ inTime, late, refused, refusedTwice int }

// simulate runs a load under a policy. Each refused caller retries once.
func simulate(load []second, p policy) outcomes {
	var e outcomes
	q := &queue{firstEventSeconds: firstEvent.Seconds()}
	start := time.Unix(0, 0)
	type caller struct {
		arrived time.Time
		retried bool
	}
	arrivals := map[time.Duration][]caller{}
	for s, v := range load {
		for i := range v.arrivals {
			at := time.Duration(s)*time.Second + time.Duration(i)*time.Second/time.Duration(v.arrivals)
			at = at.Truncate(10 * time.Millisecond)
			arrivals[at] = append(arrivals[at], caller{arrived: start.Add(at)})
		}
	}
	var running []time.Time
	callers := map[*waiter]caller{}
	refuse := func(c caller, now time.Time, after time.Duration) {
		if c.retried {
			e.refusedTwice++
			return
		}
		e.refused++
		at := now.Add(after).Sub(start).Truncate(10 * time.Millisecond)
		arrivals[at] = append(arrivals[at], caller{arrived: c.arrived, retried: true})
	}
	begin := func(c caller, now time.Time) {
		running = append(running, now.Add(serviceTime))
		if now.Add(firstEvent).Sub(c.arrived) <= target {
			e.inTime++
		} else {
			e.late++
		}
	}
	for at := time.Duration(0); at < time.Duration(len(load)+4)*time.Second; at += 10 * time.Millisecond {
		now := start.Add(at)
		slots := load[min(len(load)-1, int(at/time.Second))].slots
		sort.Slice(running, func(i, j int) bool { return running[i].Before(running[j]) })
		for len(running) > 0 && !running[0].After(now) {
			running = running[1:]
			q.freed.add(now)
		}
		for _, c := range arrivals[at] {
			q.arrivals.add(now)
			request := Request{Remaining: target - now.Sub(c.arrived), Retried: c.retried, MaxWait: 1200 * time.Millisecond}
			state := q.state(request, now)
			if state.InTime == 0 && len(running) < slots {
				begin(c, now)
				continue
			}
			if v := p.admit(state); !v.Wait {
				refuse(c, now, v.RetryAfter)
				continue
			}
			w := &waiter{request: request, inTimeUntil: now.Add(state.Slack)}
			callers[w] = c
			q.waiting = append(q.waiting, w)
		}
		for _, w := range p.order(q, now) {
			if c := callers[w]; now.Sub(c.arrived) > 1200*time.Millisecond && !c.retried {
				q.remove(w)
				refuse(c, now, minRetryAfter)
				continue
			}
			if len(running) < slots {
				q.remove(w)
				begin(callers[w], now)
			}
		}
	}
	return e
}

// In overload, Admit must let more than twice as many requests be answered in time as
// a single queue, and in a short burst not fewer.
func TestSimulatedOverload(t *testing.T) {
	is := is.New(t)
	var table bytes.Buffer
	results := map[string]outcomes{}
	for _, load := range []struct {
		name    string
		seconds []second
	}{{"overload", overload}, {"burst", burst}} {
		for _, p := range []policy{singleQueue, inTimeFirst} {
			e := simulate(load.seconds, p)
			results[load.name+p.name] = e
			fmt.Fprintf(&table, "%-9s %-17s in time %3d, late %3d, refused %3d, refused twice %3d\n", load.name, p.name, e.inTime, e.late, e.refused, e.refusedTwice)
		}
	}
	golden(t, "overload.golden", table.Bytes())
	before := results["overload"+singleQueue.name]
	after := results["overload"+inTimeFirst.name]
	is.True(after.inTime > 2*before.inTime) // in overload more than twice as many are answered in time
	is.True(results["burst"+inTimeFirst.name].inTime >= results["burst"+singleQueue.name].inTime)
}

func TestAdmit(t *testing.T) {
	for _, c := range []struct {
		name  string
		state QueueState
		want  bool
	}{
		{"in time", QueueState{FreeRate: 20, ArrivalRate: 30, Slack: 150 * time.Millisecond, MaxWait: time.Second}, true},
		{"in time behind others", QueueState{InTime: 1, FreeRate: 20, ArrivalRate: 30, Slack: 150 * time.Millisecond, MaxWait: time.Second}, true},
		{"too many ahead", QueueState{InTime: 9, FreeRate: 20, ArrivalRate: 30, Slack: 150 * time.Millisecond, MaxWait: time.Second}, false},
		{"late, but slots remain", QueueState{InTime: 2, FreeRate: 20, ArrivalRate: 15, Slack: -time.Second, MaxWait: time.Second}, true},
		{"late in overload", QueueState{InTime: 2, FreeRate: 20, ArrivalRate: 25, Slack: -time.Second, MaxWait: time.Second}, false},
		{"an interrupted stream", QueueState{InTime: 9, FreeRate: 20, ArrivalRate: 30, Slack: -time.Second, MaxWait: time.Second, Resumed: true}, true},
		{"one that may have run", QueueState{InTime: 9, FreeRate: 20, ArrivalRate: 30, Slack: -time.Second, MaxWait: time.Second, Begun: true}, true},
		{"longer than its limit", QueueState{InTime: 2, FreeRate: 20, ArrivalRate: 15, Slack: time.Second, MaxWait: 50 * time.Millisecond}, false},
		{"first where no slot was freed lately", QueueState{Slack: 100 * time.Millisecond, MaxWait: time.Second}, true},
		{"second where no slot was freed lately", QueueState{InTime: 1, Slack: 100 * time.Millisecond, MaxWait: time.Second}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := Admit(c.state)
			is.Equal(got.Wait, c.want)
			is.True(got.Wait || got.RetryAfter >= minRetryAfter && got.RetryAfter <= maxRetryAfter)
		})
	}
}

func TestChoose(t *testing.T) {
	for _, c := range []struct {
		name string
		of   []Candidate
		want int
	}{
		{"none", nil, -1},
		{"the least loaded", []Candidate{{Load: 5, Slots: 17}, {Load: 3, Slots: 17}}, 1},
		{"same domain before another", []Candidate{{Load: 5, Slots: 17}, {Load: 5, Slots: 17, SameDomain: true}}, 1},
		{"the one with less to read", []Candidate{{Load: 2, Slots: 17, ReadTime: 130 * time.Millisecond}, {Load: 6, Slots: 17, ReadTime: 20 * time.Millisecond}}, 1},
		{"another domain where the same is much fuller", []Candidate{{Load: 2, Slots: 17}, {Load: 9, Slots: 17, SameDomain: true}}, 0},
		{"not the slow one", []Candidate{{Load: 4, Slots: 17, Slowdown: 5}, {Load: 9, Slots: 17}}, 1},
		{"not the failing one", []Candidate{{Load: 4, Slots: 17, FailureRate: 0.5}, {Load: 9, Slots: 17}}, 1},
		{"never a stalled or rate-limited one", []Candidate{{Slots: 17, Stalled: true}, {Slots: 17, RateLimited: true}}, -1},
		{"all full", []Candidate{{Load: 18, Slots: 17}}, -1},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(Choose(c.of), c.want) })
	}
}

func TestBudget(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	b := Budget{Ratio: 0.2, Extra: 2, Window: 10 * time.Second, Since: now.Add(-time.Minute)}
	for range 10 {
		b.CountRequest(now)
	}
	for range 4 {
		is.True(b.AllowRetry(now).Allowed)
	}
	is.True(!b.AllowRetry(now).Allowed)                      // 0.2 x 10 + 2 are used
	is.True(b.AllowRetry(now.Add(11 * time.Second)).Allowed) // the window is over

	// After a restart, a daemon doesn't know how many retries it sent just before.
	restarted := Budget{Extra: 10, Window: 10 * time.Second, Since: now}
	is.True(!restarted.AllowRetry(now).Allowed)
	is.True(restarted.AllowRetry(now.Add(time.Second)).Allowed)
	is.True(!restarted.AllowRetry(now.Add(time.Second)).Allowed)
}
