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

var update = flag.Bool("update", false, "write the golden files anew")

// golden compares a table with testdata/name.
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

// second is one second of a load: arrivals, and places in service.
type second struct {
	arrivals int
	places   int
}

// overload is the load of a day of trouble as one daemon of nine sees it:
// callers repeat for four seconds, then a failure domain is gone for four.
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

// burst is a load that the endpoints bear but for a second.
var burst = []second{{16, 24}, {16, 24}, {34, 24}, {16, 24}, {16, 24}, {16, 24}}

const (
	runTime  = 1100 * time.Millisecond // of a request
	firstIn  = 150 * time.Millisecond  // from a place to the first event
	aim      = 300 * time.Millisecond
	deadline = 6 * time.Second
)

// policy is a way to run the line.
type policy struct {
	name  string
	wait  func(Queue) Verdict
	order func(*line, time.Time) []*waiter
}

// oneLine is the policy before: everybody waits, first come first served.
var oneLine = policy{
	name: "one line for all",
	wait: func(q Queue) Verdict {
		if wait(q.InTime+q.Late+1, q.Rate) <= q.Limit {
			return Verdict{Wait: true}
		}
		return Verdict{After: leastRetry}
	},
	order: func(l *line, _ time.Time) []*waiter { return append([]*waiter(nil), l.waiting...) },
}

var inTimeFirst = policy{name: "in time first", wait: Wait, order: (*line).order}

// ends counts how requests ended.
type ends struct{ inTime, late, refused, refusedTwice int }

// play runs a load under a policy. Each refused caller comes back once.
func play(load []second, p policy) ends {
	var e ends
	l := &line{first: firstIn.Seconds()}
	start := time.Unix(0, 0)
	type caller struct {
		came time.Time
		back bool
	}
	arrivals := map[time.Duration][]caller{}
	for s, v := range load {
		for i := range v.arrivals {
			at := time.Duration(s)*time.Second + time.Duration(i)*time.Second/time.Duration(v.arrivals)
			at = at.Truncate(10 * time.Millisecond)
			arrivals[at] = append(arrivals[at], caller{came: start.Add(at)})
		}
	}
	var running []time.Time
	callers := map[*waiter]caller{}
	refuse := func(c caller, now time.Time, after time.Duration) {
		if c.back {
			e.refusedTwice++
			return
		}
		e.refused++
		at := now.Add(after).Sub(start).Truncate(10 * time.Millisecond)
		arrivals[at] = append(arrivals[at], caller{came: c.came, back: true})
	}
	begin := func(c caller, now time.Time) {
		running = append(running, now.Add(runTime))
		if now.Add(firstIn).Sub(c.came) <= aim {
			e.inTime++
		} else {
			e.late++
		}
	}
	for at := time.Duration(0); at < time.Duration(len(load)+4)*time.Second; at += 10 * time.Millisecond {
		now := start.Add(at)
		places := load[min(len(load)-1, int(at/time.Second))].places
		sort.Slice(running, func(i, j int) bool { return running[i].Before(running[j]) })
		for len(running) > 0 && !running[0].After(now) {
			running = running[1:]
			l.freed.add(now)
		}
		for _, c := range arrivals[at] {
			l.arrivals.add(now)
			ask := Ask{Aim: aim - now.Sub(c.came), Back: c.back, Limit: 1200 * time.Millisecond}
			q := l.queue(ask, now)
			if q.InTime == 0 && len(running) < places {
				begin(c, now)
				continue
			}
			if v := p.wait(q); !v.Wait {
				refuse(c, now, v.After)
				continue
			}
			w := &waiter{ask: ask, inTime: now.Add(q.Slack)}
			callers[w] = c
			l.waiting = append(l.waiting, w)
		}
		for _, w := range p.order(l, now) {
			if c := callers[w]; now.Sub(c.came) > 1200*time.Millisecond && !c.back {
				l.remove(w)
				refuse(c, now, leastRetry)
				continue
			}
			if len(running) < places {
				l.remove(w)
				begin(callers[w], now)
			}
		}
	}
	return e
}

func TestReplayOverload(t *testing.T) {
	is := is.New(t)
	var table bytes.Buffer
	results := map[string]ends{}
	for _, load := range []struct {
		name    string
		seconds []second
	}{{"overload", overload}, {"burst", burst}} {
		for _, p := range []policy{oneLine, inTimeFirst} {
			e := play(load.seconds, p)
			results[load.name+p.name] = e
			fmt.Fprintf(&table, "%-9s %-17s in time %3d, late %3d, refused %3d, refused twice %3d\n", load.name, p.name, e.inTime, e.late, e.refused, e.refusedTwice)
		}
	}
	golden(t, "overload.golden", table.Bytes())
	before := results["overload"+oneLine.name]
	after := results["overload"+inTimeFirst.name]
	is.True(after.inTime > 2*before.inTime) // in overload more than twice as many are answered in time
	is.True(results["burst"+inTimeFirst.name].inTime >= results["burst"+oneLine.name].inTime)
}

func TestWait(t *testing.T) {
	for _, c := range []struct {
		name string
		q    Queue
		want bool
	}{
		{"in time", Queue{Rate: 20, Arrivals: 30, Slack: 150 * time.Millisecond, Limit: time.Second}, true},
		{"in time behind others", Queue{InTime: 1, Rate: 20, Arrivals: 30, Slack: 150 * time.Millisecond, Limit: time.Second}, true},
		{"too many before it", Queue{InTime: 9, Rate: 20, Arrivals: 30, Slack: 150 * time.Millisecond, Limit: time.Second}, false},
		{"late, but places are left", Queue{InTime: 2, Rate: 20, Arrivals: 15, Slack: -time.Second, Limit: time.Second}, true},
		{"late in overload", Queue{InTime: 2, Rate: 20, Arrivals: 25, Slack: -time.Second, Limit: time.Second}, false},
		{"a stream that broke off", Queue{InTime: 9, Rate: 20, Arrivals: 30, Slack: -time.Second, Limit: time.Second, Begun: true}, true},
		{"longer than it may wait", Queue{InTime: 2, Rate: 20, Arrivals: 15, Slack: time.Second, Limit: 50 * time.Millisecond}, false},
		{"first one where none came free lately", Queue{Slack: 100 * time.Millisecond, Limit: time.Second}, true},
		{"second one where none came free lately", Queue{InTime: 1, Slack: 100 * time.Millisecond, Limit: time.Second}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := Wait(c.q)
			is.Equal(got.Wait, c.want)
			is.True(got.Wait || got.After >= leastRetry && got.After <= mostRetry)
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
		{"near before far", []Candidate{{Load: 5, Slots: 17}, {Load: 5, Slots: 17, Near: true}}, 1},
		{"the one with less to read", []Candidate{{Load: 2, Slots: 17, Read: 130 * time.Millisecond}, {Load: 6, Slots: 17, Read: 20 * time.Millisecond}}, 1},
		{"far where near is much fuller", []Candidate{{Load: 2, Slots: 17}, {Load: 9, Slots: 17, Near: true}}, 0},
		{"not the slow one", []Candidate{{Load: 4, Slots: 17, Slow: 5}, {Load: 9, Slots: 17}}, 1},
		{"not the failing one", []Candidate{{Load: 4, Slots: 17, Fails: 0.5}, {Load: 9, Slots: 17}}, 1},
		{"never a stuck or frozen one", []Candidate{{Slots: 17, Stuck: true}, {Slots: 17, Frozen: true}}, -1},
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
		b.Ask(now)
	}
	for range 4 {
		is.True(b.Spend(now).OK)
	}
	is.True(!b.Spend(now).OK)                      // 0.2 x 10 + 2 are spent
	is.True(b.Spend(now.Add(11 * time.Second)).OK) // the window is over

	// Daemons that all start again don't know what they spent a moment ago.
	again := Budget{Extra: 10, Window: 10 * time.Second, Since: now}
	is.True(!again.Spend(now).OK)
	is.True(again.Spend(now.Add(time.Second)).OK)
	is.True(!again.Spend(now.Add(time.Second)).OK)
}
