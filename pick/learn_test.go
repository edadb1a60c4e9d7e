package pick

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/site"
)

// learnSeeds is the number of runs of each case; with 8, 30 s each, it gives the figures of
// docs/design/learned-capacity.md.
const (
	learnSeeds = 1
	learnTime  = 20 * time.Second
)

// slowOnes returns a factor that holds at the first three endpoints.
func slowOnes(factor func(load int) float64) func(string, int) float64 {
	return func(id string, load int) float64 {
		if id < "e03" {
			return factor(load)
		}
		return 1
	}
}

var (
	learnSound = slowOnes(func(int) float64 { return 1 })
	learnSlow  = slowOnes(func(int) float64 { return 4 })
	learnKnee  = slowOnes(func(load int) float64 { return 1 + max(0, float64(load)-learnSlots/3) })
)

// What callers get with and without learned limits: more in aim and fewer late where three
// of twenty endpoints are slow, and the same where none is.
func TestLearnedLimitsServeCallers(t *testing.T) {
	is := is.New(t)
	var table bytes.Buffer
	fmt.Fprintf(&table, "%-12s %-32s %-8s %8s %6s %6s %8s\n", "load", "20 endpoints, 3 slow", "learned", "arrivals", "in aim", "late", "refused")
	for _, load := range []struct {
		name string
		rate float64
	}{{"medium load", 45}, {"high load", 70}, {"overload", 85}} {
		for _, kind := range []struct {
			name string
			slow func(id string, load int) float64
		}{{"none slow", learnSound}, {"4 times slower", learnSlow}, {"slow from a third of slots on", learnKnee}} {
			var sums [2]learnFleet
			for i := range sums {
				for seed := range uint64(learnSeeds) {
					synctest.Test(t, func(t *testing.T) {
						f := newLearnFleet(3, 20, seed+1)
						f.fixed, f.slow = i == 0, kind.slow
						f.run(t, learnTime, load.rate)
						f.stop()
						sums[i].arrived += f.arrived
						sums[i].inAim += f.inAim
						sums[i].late += f.late
						sums[i].refused += f.refused
					})
				}
				fmt.Fprintf(&table, "%-12s %-32s %-8v %8d %6d %6d %8d\n", load.name, kind.name, i == 1, sums[i].arrived, sums[i].inAim, sums[i].late, sums[i].refused)
			}
			without, with := sums[0], sums[1]
			is.True(with.late <= without.late)
			is.True(with.inAim >= without.inAim*995/1000)
			if kind.name == "none slow" {
				is.Equal(with.inAim, without.inAim)
			}
		}
	}
	golden(t, "learned.golden", table.Bytes())
}

// Where all endpoints behave as configured, nothing is limited and nothing is passed on.
func TestNothingLearnedOfSoundEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLearnFleet(3, 6, 1)
		for range 40 {
			f.run(t, 250*time.Millisecond, 24)
			for _, m := range f.reports {
				for _, load := range m.Endpoints {
					is.Equal(load.Learned, gossip.Learned{})
				}
			}
		}
		limited, share := f.placers[0].Learned()
		is.Equal(limited, 0)
		is.Equal(share, 1.0)
		f.stop()
	})
}

// What a daemon that is cut off or dies has passed on doesn't stay in force: its limits are
// released by the others, which see for themselves. So are its own, as it has no requests.
func TestLearnedLimitOfALostDaemonEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLearnFleet(3, 6, 1)
		f.slow = learnSlow
		f.run(t, 8*time.Second, 28)
		for d := range f.placers {
			is.True(f.limit(d, "e00") <= learnSlots/2)
		}
		limited, share := f.placers[0].Learned()
		is.Equal(limited, 3)
		is.True(share > 0.5 && share < 0.9)
		told := f.placers[0].Report()
		f.cut[0] = true
		f.stop() // no further requests: nothing new is seen
		for id := range f.load {
			f.load[id] = 0
		}
		f.run(t, 40*time.Second, 0)
		for d := range f.placers {
			is.Equal(f.limit(d, "e00"), learnSlots)
		}
		is.Equal(f.placers[0].Report().Endpoints["e00"].Learned, gossip.Learned{})
		told.From.ID = "0"
		late := told.Endpoints["e00"]
		late.Learned.Age = 6000 // as a relay passes on what a silent daemon said
		f.placers[1].Update([]gossip.Message{{From: told.From, Endpoints: map[string]gossip.EndpointLoad{"e00": late}}}, nil)
		is.Equal(f.placers[1].endpoint("e00").learned.others, gossip.Learned{})
	})
}

// An endpoint that starts again under the same id, or serves another model, is not bound by
// what was learned before, and what others say of the earlier life counts no more.
func TestLearnedLimitIsOfOneLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLearnFleet(3, 6, 1)
		f.slow = learnSlow
		f.run(t, 8*time.Second, 28)
		is.True(f.limit(0, "e00") <= learnSlots/2)
		e := f.snapshot.Endpoints["e00"]
		other := f.placers[0].queue("s/other")
		is.Equal(f.placers[0].endpoint("e00").learned.slots(e, other, learnSlots), learnSlots)
		e.State.Started = 8
		f.snapshot.Endpoints["e00"] = e
		for _, p := range f.placers {
			p.cache = servingCache{}
		}
		is.Equal(f.limit(0, "e00"), learnSlots) // before anything is heard
		f.slow = learnSound
		f.exchange()
		f.exchange()
		is.Equal(f.limit(0, "e00"), learnSlots)
		is.True(f.limit(0, "e01") <= learnSlots/2)
		f.stop()
	})
}

// A daemon passes on what it sees of a bounded number of endpoints, those that deviate most.
func TestLearnedMessagesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLearnFleet(1, 3*maxTold, 1)
		p := f.placers[0]
		for i, e := range p.serving("s", "m") {
			s := p.endpoint(e.ID)
			s.learned = learned{started: 7, queue: p.queue("s/m"), faded: p.options.Boot(), newest: p.options.Boot()}
			for range 20 {
				s.learned.own[gaps].Add(1, 20*time.Millisecond*time.Duration(1+max(0, i-2*maxTold+10)), time.Second)
			}
		}
		p.Update(nil, nil)
		n := 0
		for id, load := range p.Report().Endpoints {
			if load.Learned.Known() {
				is.True(id >= "e64") // those that deviate most
				n++
			}
		}
		is.Equal(n, maxTold)
	})
}

// rejecting lets requests come to three plain endpoints for 5 s, of which one rejects those
// beyond 6 in progress, and returns its limit then. The function rejected is called for each
// rejection.
func rejecting(t *testing.T, rejected func(*Slot)) int {
	t.Helper()
	f := newLimitFleet(1, 1)
	f.snapshot.Config.Routes = []site.Route{{TargetLatency: 200 * time.Millisecond, Shares: []site.Share{{Service: "plain", Weight: 1}}}}
	for _, id := range []string{"e", "other1", "other2"} {
		f.snapshot.Endpoints[id] = site.Endpoint{ID: id, Service: "plain", Slots: 16, State: site.State{Started: 7}}
	}
	p := f.placers[0]
	for i := range 2500 {
		if i%50 == 0 {
			p.Update(nil, nil)
		}
		slot, err := p.Acquire(t.Context(), plainRequest())
		if err == nil && slot.Endpoint.ID == "e" && slot.Load >= 6 {
			rejected(slot)
			slot.Done(true)
		} else if err == nil {
			time.AfterFunc(50*time.Millisecond, func() {
				slot.Progress(false)
				slot.Done(false)
			})
		}
		time.Sleep(2 * time.Millisecond)
	}
	time.Sleep(time.Second)
	return p.endpoint("e").learned.slots(f.snapshot.Endpoints["e"], p.queue("plain/"), 16)
}

// An endpoint that rejects requests before its slots are taken is sent fewer at once. One
// that asks for a pause, or states how many requests a second it takes, is served by that
// alone: its rejections say nothing of how many it runs at once.
func TestRejectionsLimitAnEndpoint(t *testing.T) {
	for _, c := range []struct {
		name     string
		rejected func(*Slot)
		least    int
		most     int
	}{
		{"full", func(*Slot) {}, 3, 9},
		{"pauses", func(s *Slot) { s.Pause(20 * time.Millisecond) }, 16, 16},
		{"can't be reached", (*Slot).Suspect, 16, 16},
		{"states a limit", func(s *Slot) { s.Limit(100) }, 16, 16},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := rejecting(t, c.rejected)
				if got < c.least || got > c.most {
					t.Errorf("limit %d, want %d to %d", got, c.least, c.most)
				}
			})
		})
	}
}

// A limit that changes is logged with what it rests on, and not with each step.
func TestLearnedLimitIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLearnFleet(2, 6, 1)
		var lines []string
		f.placers[0].options.Log = funcr.New(func(_, args string) {
			if strings.Contains(args, `"endpoint takes" "endpoint"="e00"`) {
				lines = append(lines, args)
			}
		}, funcr.Options{})
		f.slow = learnSlow
		f.run(t, 10*time.Second, 28)
		f.stop()
		is.True(len(lines) >= 1 && len(lines) <= 6)
		for _, field := range []string{"limit", "goal", "load", "gap_ms", "expected_ms", "samples", "age_ms", "peer"} {
			is.True(strings.Contains(lines[0], `"`+field+`"=`))
		}
	})
}
