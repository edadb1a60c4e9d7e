package learn

import (
	"bytes"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
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

const (
	ms       = time.Millisecond
	replayed = 30 * time.Second
	tick     = 10 * ms  // of a replay
	judged   = 100 * ms // between two judgements
	peers    = 4        // other endpoints of the model
	slots    = 32
)

// replay is an endpoint among others of its model, and what it does.
type replay struct {
	name     string
	expected Line
	need     time.Duration
	factor   func(at time.Duration, load float64) float64 // on the times of the endpoint
	whole    func(at time.Duration) float64               // on the times of all endpoints; nil for 1
	demand   float64                                      // requests in progress that callers would have there
	restart  time.Duration                                // when it begins a new life, 0 for never
	long     float64                                      // share of single long times
	rejects  int                                          // load from which it rejects half of the requests, 0 for none
}

var (
	engine    = Line{Base: 20 * ms, Each: ms}
	asIs      = func(time.Duration, float64) float64 { return 1 }
	fourTimes = func(time.Duration, float64) float64 { return 4 }
)

// during returns a factor that holds between two times.
func during(factor float64, from, to time.Duration) func(time.Duration, float64) float64 {
	return func(at time.Duration, _ float64) float64 {
		if at >= from && at < to {
			return factor
		}
		return 1
	}
}

// knee slows an endpoint by each request beyond a third of its slots.
func knee(_ time.Duration, load float64) float64 { return 1 + max(0, load-slots/3)*0.4 }

var replays = []replay{
	{name: "as configured", expected: engine, need: 150 * ms, factor: asIs, demand: 28},
	{name: "4 times slower", expected: engine, need: 150 * ms, factor: fourTimes, demand: 28},
	{name: "slows from a third on", expected: engine, need: 150 * ms, factor: knee, demand: 28},
	{name: "recovers at 15 s", expected: engine, need: 150 * ms, factor: during(4, 5*time.Second, 15*time.Second), demand: 28},
	{name: "all slow at 10 s, longer prompts", expected: engine, need: 150 * ms, factor: asIs, demand: 28, whole: func(at time.Duration) float64 { return during(3, 10*time.Second, replayed)(at, 0) }},
	{name: "few requests, 4 times slower", expected: engine, need: 150 * ms, factor: fourTimes, demand: 0.02},
	{name: "cold for 3 s from 5 s on", expected: engine, need: 150 * ms, factor: during(4, 5*time.Second, 8*time.Second), restart: 5 * time.Second, demand: 28},
	{name: "restarts sound at 15 s", expected: engine, need: 150 * ms, factor: during(4, 0, 15*time.Second), restart: 15 * time.Second, demand: 28},
	{name: "single long times", expected: engine, need: 150 * ms, factor: asIs, demand: 28, long: 0.01},
	{name: "plain, as the others", need: time.Second, factor: asIs, demand: 16},
	{name: "plain, 4 times slower", need: time.Second, factor: fourTimes, demand: 16},
	{name: "plain, rejects from 12 on", need: time.Second, factor: asIs, demand: 28, rejects: 12},
}

// time returns how long the endpoint takes at a load without its own factor.
func (r *replay) time(at time.Duration, load float64) float64 {
	v := millis(r.expected.Base) + load*millis(r.expected.Each)
	if !r.expected.stated() {
		v = 100 + 10*load
	}
	if r.whole != nil {
		v *= r.whole(at)
	}
	return v
}

// controller is a way to set a limit.
type controller interface {
	sample(load int, t, usual time.Duration)
	miss(load int, need time.Duration)
	judge(now time.Duration, peer float64) int
	forget()
}

// result is what a replay gives.
type result struct {
	limits []float64 // mean over each 5 s
	done   float64   // times per second
	late   float64   // share of times above what callers need, or rejected
	least  int       // lowest limit
	most   int       // highest limit
}

// run plays a replay with a way to set the limit.
func (r *replay) run(seed uint64, way func(*replay) controller) result {
	random := rand.New(rand.NewPCG(seed, 1))
	c := way(r)
	var others [peers]Sums
	got := result{least: slots}
	limit, sum, n, missed := slots, 0.0, 0.0, 0.0
	owed := 0.0
	for at := time.Duration(0); at < replayed; at += tick {
		if r.restart > 0 && at == r.restart {
			c.forget()
			limit = slots
		}
		wanted := r.demand + random.NormFloat64()*math.Sqrt(r.demand)
		load := int(min(float64(limit), max(0, math.Round(wanted))))
		usual := time.Duration(0)
		if m := others[0].mean(); m > 0 {
			usual = time.Duration(m * float64(ms))
		}
		for i := range others {
			other := min(slots, int(max(0, math.Round(r.demand+random.NormFloat64()*math.Sqrt(r.demand)))))
			if other > 0 && random.Float64() < 0.5 {
				others[i].Add(other, time.Duration(r.time(at, float64(other))*(0.8+0.4*random.Float64())*float64(ms)), 0)
			}
		}
		if load > 0 {
			mean := r.time(at, float64(load)) * r.factor(at, float64(load))
			owed += float64(load) * millis(tick) / mean
			for ; owed >= 1; owed-- {
				if r.rejects > 0 && load >= r.rejects && random.Float64() < 0.5 {
					c.miss(load, r.need)
					missed++
					continue
				}
				v := mean * (0.7 + 0.6*random.Float64())
				if random.Float64() < r.long {
					v *= 20
				}
				c.sample(load, time.Duration(v*float64(ms)), usual)
				n++
				if v > millis(r.need) {
					missed++
				}
			}
		}
		if at%judged == 0 {
			ratios := []float64{}
			for i := range others {
				others[i] = others[i].Faded(judged)
				if others[i].Samples > 0 {
					ratios = append(ratios, others[i].Ratio(r.expected))
				}
			}
			peer := 0.0
			if len(ratios) > 0 {
				slices.Sort(ratios)
				peer = ratios[len(ratios)/2]
			}
			limit = c.judge(at, peer)
			got.least, got.most = min(got.least, limit), max(got.most, limit)
		}
		sum += float64(limit)
		if (at+tick)%(5*time.Second) == 0 {
			got.limits = append(got.limits, sum/500)
			sum = 0
		}
	}
	got.done = n / replayed.Seconds()
	got.late = missed / max(1, n)
	return got
}

// The ways to set a limit, side by side. The line must limit the endpoints that deviate, and
// only these, and follow changes: fixed slots let a slow endpoint keep callers waiting.
func TestReplays(t *testing.T) {
	var table bytes.Buffer
	fmt.Fprintf(&table, "%-33s %-9s  %s  %8s %6s\n", "endpoint, 32 slots", "way", "mean limit in each 5 s", "done/s", "late")
	got := map[string]result{}
	for _, r := range replays {
		for _, way := range []struct {
			name string
			make func(*replay) controller
		}{{"none", newNone}, {"aimd", newAimd}, {"gradient", newGradient}, {"line", newLines}} {
			v := r.run(1, way.make)
			got[r.name+"/"+way.name] = v
			fmt.Fprintf(&table, "%-33s %-9s", r.name, way.name)
			for _, limit := range v.limits {
				fmt.Fprintf(&table, " %4.1f", limit)
			}
			fmt.Fprintf(&table, " %7.0f %5.1f%%\n", v.done, 100*v.late)
		}
	}
	golden(t, "replays.golden", table.Bytes())
	is := is.New(t)
	of := func(name string) result { return got[name+"/line"] }
	for _, r := range got {
		is.True(r.least >= 1 && r.most <= slots)
	}
	for _, name := range []string{"as configured", "all slow at 10 s, longer prompts", "few requests, 4 times slower", "single long times", "plain, as the others"} {
		is.Equal(of(name).least, slots) // nothing is limited
	}
	for _, name := range []string{"4 times slower", "slows from a third on", "plain, 4 times slower", "plain, rejects from 12 on"} {
		is.True(of(name).limits[5] <= slots/2)            // the endpoint is limited
		is.True(of(name).late < got[name+"/none"].late/4) // and callers get what they need
	}
	is.True(of("slows from a third on").done > 2*got["slows from a third on/none"].done)
	is.True(of("recovers at 15 s").limits[2] <= slots/4)
	is.Equal(of("recovers at 15 s").limits[4], float64(slots))       // within 5 s
	is.Equal(of("restarts sound at 15 s").limits[3], float64(slots)) // at once
}
