package learn

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fleet is daemons that send requests to one endpoint, and pass on what they see.
type fleet struct {
	expected Line
	need     time.Duration
	factor   float64       // on the times of the endpoint
	spread   float64       // of single times, as the deviation of their logarithm
	length   int           // times that one request shows
	demand   int           // requests in progress that callers would have there
	alone    bool          // nothing is passed on
	daemons  []fleetDaemon // that know the other endpoints to be as configured
}

// fleetDaemon is one of them.
type fleetDaemon struct {
	sums    Sums
	told    Sums // 300 ms ago, which the others have now
	limiter Limiter
	limit   int
}

// outcome is what a fleet gives.
type outcome struct {
	found   time.Duration // when nine in ten daemons limited the endpoint to half of its slots, 0 for never
	limit   float64       // mean over the second half
	told    float64       // share of messages that name the endpoint
	samples float64       // of one daemon, mean
}

// run lets a number of daemons send requests for 20 s.
func (f *fleet) run(daemons int) outcome {
	random := rand.New(rand.NewPCG(3, uint64(daemons)))
	f.daemons = make([]fleetDaemon, daemons)
	for i := range f.daemons {
		f.daemons[i].limit = slots
	}
	type request struct{ daemon, left int }
	var running []request
	owed := 0.0
	var got outcome
	rounds := 0
	for at := time.Duration(0); at < 20*time.Second; at += tick {
		for range f.demand - len(running) {
			if d := random.IntN(daemons); len(running) < f.daemons[d].limit {
				running = append(running, request{d, f.length})
			}
		}
		load := len(running)
		mean := millis(f.expected.At(load))
		if !f.expected.stated() {
			mean = 100 + 10*float64(load)
		}
		for owed += float64(load) * millis(tick) / (mean * f.factor); owed >= 1 && len(running) > 0; owed-- {
			i := random.IntN(len(running))
			v := mean * f.factor * math.Exp(random.NormFloat64()*f.spread)
			f.daemons[running[i].daemon].sums.Add(load, fromMillis(v), fromMillis(mean))
			if running[i].left--; running[i].left == 0 {
				running = append(running[:i], running[i+1:]...)
			}
		}
		if at%judged == 0 {
			told := f.judge(at, load)
			rounds++
			limited := 0
			for _, d := range f.daemons {
				if d.limit <= slots/2 {
					limited++
				}
				got.samples += d.sums.Samples
				if at >= 10*time.Second {
					got.limit += float64(d.limit)
				}
			}
			for _, s := range told {
				if s != (Sums{}) {
					got.told++
				}
			}
			if got.found == 0 && 10*limited >= 9*daemons {
				got.found = at
			}
		}
	}
	got.limit /= float64(rounds / 2 * daemons)
	got.told /= float64(rounds * daemons)
	got.samples /= float64(rounds * daemons)
	return got
}

// judge lets each daemon judge, and returns what they pass on. The others have it 300 ms
// later, with the weights of then.
func (f *fleet) judge(at time.Duration, load int) []Sums {
	var all Sums
	for i := range f.daemons {
		all = all.Plus(f.daemons[i].told)
	}
	told := make([]Sums, len(f.daemons))
	for i := range f.daemons {
		d := &f.daemons[i]
		d.sums = d.sums.Faded(judged)
		others := all.Minus(d.told)
		if f.alone {
			others = Sums{}
		}
		peer := 1.0
		if !f.expected.stated() {
			peer = 100 + 10*float64(load)
		}
		e := Evidence{Sums: d.sums.Plus(others), Expected: f.expected, Peer: peer, Need: f.need, Slots: slots, Limited: d.limiter.Limited()}
		d.limit = d.limiter.Step(at, slots, Judge(e), load)
		own := e
		own.Sums = d.sums
		if own.Tells() || others.Samples > 0 && e.Confirms() {
			told[i] = d.sums.Rounded()
		}
	}
	for i := range f.daemons {
		f.daemons[i].told = told[i].Faded(300 * ms)
	}
	return told
}

// At an endpoint where each daemon has few requests, what they pass on shows together what
// it takes. Without it, most daemons of a large deployment would never limit a slow one.
func TestDaemonsTogether(t *testing.T) {
	is := is.New(t)
	var table bytes.Buffer
	fmt.Fprintf(&table, "%-24s %7s %-8s %9s %11s %9s %13s\n", "endpoint, 32 slots", "daemons", "learn", "samples", "limited at", "limit", "messages told")
	for _, c := range []struct {
		name string
		of   fleet
	}{
		{"as configured", fleet{expected: engine, need: 150 * ms, factor: 1, spread: 0.3, length: 100, demand: 28}},
		{"4 times slower", fleet{expected: engine, need: 150 * ms, factor: 4, spread: 0.3, length: 100, demand: 28}},
		{"plain, as the others", fleet{need: time.Second, factor: 1, spread: 0.5, length: 1, demand: 16}},
		{"plain, 4 times slower", fleet{need: time.Second, factor: 4, spread: 0.5, length: 1, demand: 16}},
	} {
		for _, daemons := range []int{3, 66, 300} {
			for _, alone := range []bool{true, false} {
				f := c.of
				f.alone = alone
				got := f.run(daemons)
				way := map[bool]string{true: "alone", false: "together"}[alone]
				fmt.Fprintf(&table, "%-24s %7d %-8s %9.2f %10.1fs %9.1f %12.1f%%\n", c.name, daemons, way, got.samples, got.found.Seconds(), got.limit, 100*got.told)
				if !alone {
					is.Equal(got.found > 0, f.factor > 1) // limited by all, and only if it is slow
				}
			}
		}
	}
	golden(t, "daemons.golden", table.Bytes())
}
