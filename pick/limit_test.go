package pick

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/site"
	"clementinehead.example/chead/watch"
)

// limitFleet is daemons in front of one endpoint of a plain service that states a limit.
type limitFleet struct {
	placers  []*Placer
	snapshot *watch.Snapshot
	limit    float64 // stated in each answer, 0 for none
	sent     []time.Time
}

// plainRequest waits for a slot for no time.
func plainRequest() Request { return Request{Service: "plain", Remaining: time.Second} }

// newLimitFleet returns n daemons whose random numbers are those of a seed.
func newLimitFleet(n int, seed uint64) *limitFleet {
	f := &limitFleet{snapshot: &watch.Snapshot{
		Config:    &site.Config{Services: map[string]site.Service{"plain": {Name: "plain"}}},
		Endpoints: map[string]site.Endpoint{"e": {ID: "e", Service: "plain", Slots: 1000, State: site.State{Started: 7}}},
	}}
	began := time.Now()
	for i := range n {
		f.placers = append(f.placers, New(Options{
			Boot: func() time.Duration { return time.Hour + time.Since(began) }, Snapshot: func() *watch.Snapshot { return f.snapshot },
			Daemons: func() int { return n }, Listed: func() int { return n }, Reached: func() bool { return true }, CutOff: func() bool { return false }, Late: func(time.Duration) time.Duration { return 0 }, Budget: func() Budget { return Budget{} }, Log: logr.Discard(),
			Random: rand.New(rand.NewPCG(seed, uint64(i))).Float64,
			Delay:  func() time.Duration { return 50 * time.Millisecond },
		}))
	}
	return f
}

// try sends a request by a daemon if it has a slot for it.
func (f *limitFleet) try(t *testing.T, daemon int) (sent bool, err error) {
	t.Helper()
	slot, err := f.placers[daemon].Acquire(t.Context(), plainRequest())
	if err != nil {
		return false, err
	}
	f.sent = append(f.sent, time.Now())
	began := time.Now()
	if f.limit > 0 {
		slot.Limit(f.limit)
	} else {
		slot.EndLimit(began)
	}
	slot.Done(false)
	return true, nil
}

// exchange passes on what the daemons reported 300 ms before, within each of some groups.
func (f *limitFleet) exchange(reports []gossip.Message, groups [][]int) {
	for _, group := range groups {
		for _, i := range group {
			var heard []gossip.Message
			for _, j := range group {
				if j != i {
					heard = append(heard, reports[j])
				}
			}
			f.placers[i].Update(heard, nil)
		}
	}
}

// reports returns what the daemons report now.
func (f *limitFleet) reports() []gossip.Message {
	var all []gossip.Message
	for _, p := range f.placers {
		all = append(all, p.Report())
	}
	return all
}

// run lets the daemons try so many requests a second for a time. The function who names the
// daemon of a request. They hear each other within groups.
func (f *limitFleet) run(t *testing.T, d time.Duration, rate int, who func(n int) int, groups [][]int) {
	t.Helper()
	pause := time.Second / time.Duration(rate)
	reports := f.reports()
	next := time.Now()
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		if !time.Now().Before(next) {
			f.exchange(reports, groups)
			reports = f.reports()
			next = time.Now().Add(300 * time.Millisecond)
		}
		_, _ = f.try(t, who(n))
		time.Sleep(pause)
	}
}

// most returns the largest number of sends within limitWindow that begin after a time.
func (f *limitFleet) most(from time.Time) (most int) {
	for i, at := range f.sent {
		n := len(f.sent) - i
		if end := slices.IndexFunc(f.sent, func(s time.Time) bool { return s.Sub(at) >= limitWindow }); end >= 0 {
			n = end - i
		}
		if !at.Before(from) {
			most = max(most, n)
		}
	}
	return most
}

// everyone returns one group of n daemons.
func everyone(n int) [][]int {
	group := make([]int, n)
	for i := range group {
		group[i] = i
	}
	return [][]int{group}
}

const limitSeeds = 10

// Daemons keep to the limit of an endpoint together, whoever has the requests, and use it,
// whether they hear each other or not.
func TestLimitOfAllDaemons(t *testing.T) {
	evenly := func(daemons int) func(int) int { return func(n int) int { return n % daemons } }
	for _, c := range []struct {
		name    string
		daemons int
		limit   float64
		who     func(n int) int
		groups  [][]int
	}{
		{"one daemon", 1, 6, evenly(1), everyone(1)},
		{"six daemons", 6, 3, evenly(6), everyone(6)},
		{"one of six has the requests", 6, 3, evenly(1), everyone(6)},
		{"two of six have most", 6, 10, func(n int) int { return max(0, n%12-6) }, everyone(6)},
		{"more daemons than requests", 63, 4, evenly(63), everyone(63)},
		{"one of six is not heard", 6, 5, evenly(6), [][]int{{0}, {1, 2, 3, 4, 5}}},
		{"two halves", 6, 5, evenly(6), [][]int{{0, 1, 2}, {3, 4, 5}}},
		{"a high limit", 6, 60, evenly(6), everyone(6)},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(limitSeeds) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newLimitFleet(c.daemons, seed)
					f.limit = c.limit
					f.run(t, time.Second, 100, c.who, c.groups)
					told := time.Now()
					f.run(t, 20*time.Second, 100, c.who, c.groups)
					allowed := c.limit * limitWindow.Seconds()
					is.True(float64(f.most(told)) <= 1.5*allowed+5)
					got := slices.IndexFunc(f.sent, func(s time.Time) bool { return s.After(told.Add(limitWindow)) })
					is.True(float64(len(f.sent)-got) >= 0.75*c.limit*16) // used
				})
			}
		})
	}
}

// After a pause, requests come to many daemons at once, each of which has a request to
// spare: they don't all send one.
func TestLimitAfterAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(63, 1)
		f.limit = 2
		who := func(n int) int { return n % 63 }
		f.run(t, 2*time.Second, 100, who, everyone(63))
		f.limit = 2
		time.Sleep(time.Minute)
		resumed := time.Now()
		f.run(t, 8*time.Second, 20, who, everyone(63))
		is.True(float64(f.most(resumed)) <= 1.5*2*limitWindow.Seconds()+5)
	})
}

// A limit that another daemon has heard of binds this one, in the life of the endpoint that
// stated it. The newer of two statements counts, an end of it too.
func TestLimitOfAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(1, 1)
		p := f.placers[0]
		rate := func() float64 {
			r, limited := p.endpoint("e").limitInForce(f.snapshot.Endpoints["e"])
			if !limited {
				return 0
			}
			return r
		}
		tell := func(l gossip.Limit) {
			p.Update([]gossip.Message{{From: site.Daemon{ID: "d2"}, Endpoints: map[string]gossip.EndpointLoad{"e": {Limit: l}}}}, nil)
		}
		time.Sleep(time.Minute)
		tell(gossip.Limit{Started: 6, Rate: 9, Age: 10})
		is.Equal(rate(), 0.0) // of an earlier life
		tell(gossip.Limit{Started: 7, Rate: 3, Age: 5000})
		is.Equal(rate(), 3.0)
		tell(gossip.Limit{Started: 6, Rate: 9, Age: 10})
		is.Equal(rate(), 3.0)
		tell(gossip.Limit{Started: 7, Rate: 4, Age: 5100})
		is.Equal(rate(), 3.0) // older
		tell(gossip.Limit{Started: 7, Rate: 5, Age: 1000})
		is.Equal(rate(), 5.0)
		is.Equal(p.Report().Endpoints["e"].Limit, gossip.Limit{Started: 7, Rate: 5, Age: 1001}) // passed on with its age
		tell(gossip.Limit{Started: 7, Ended: true, Age: 3000})
		is.Equal(rate(), 5.0)
		tell(gossip.Limit{Started: 7, Ended: true, Age: 100})
		is.Equal(rate(), 0.0)
		is.True(p.Report().Endpoints["e"].Limit.Ended)
		time.Sleep(limitNews + time.Second)
		is.Equal(p.Report().Endpoints["e"].Limit, gossip.Limit{})
		tell(gossip.Limit{Started: 7, Rate: 5, Age: 60_000})
		is.Equal(rate(), 0.0) // of a daemon that was cut off when it ended
		entry := f.snapshot.Endpoints["e"]
		tell(gossip.Limit{Started: 7, Rate: 5, Age: 10})
		is.Equal(rate(), 5.0)
		entry.State.Started = 8
		f.snapshot.Endpoints["e"] = entry
		is.Equal(rate(), 0.0) // it has started again
	})
}

// An answer without a limit ends it only if its request was sent after the limit was
// stated: answers overtake each other.
func TestLimitEndsByALaterAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(1, 1)
		p := f.placers[0]
		early, err := p.Acquire(t.Context(), plainRequest())
		is.NoErr(err)
		sentEarly := time.Now()
		time.Sleep(10 * time.Millisecond)
		slot, err := p.Acquire(t.Context(), plainRequest())
		is.NoErr(err)
		slot.Limit(3)
		slot.Done(false)
		time.Sleep(10 * time.Millisecond)
		early.EndLimit(sentEarly)
		is.True(p.endpoint("e").limit.inForce())
		early.EndLimit(time.Now())
		is.True(!p.endpoint("e").limit.inForce())
	})
}

// What a limit leaves no room for is refused at once, with the time after which there may
// be room; it goes to another endpoint if there is one. A slot that is given back unsent
// takes nothing of the limit. An endpoint that takes nothing gets one request now and then,
// whose answer tells of another limit.
func TestRequestsBeyondALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(1, 1)
		f.limit = 0.5
		for {
			if sent, _ := f.try(t, 0); !sent {
				break
			}
		}
		began := time.Now()
		_, err := f.placers[0].Acquire(t.Context(), plainRequest())
		refused, ok := err.(*Error)
		is.True(ok)
		is.Equal(refused.Kind, Full)
		is.Equal(refused.State.Limited, 1)
		is.True(refused.RetryAfter > 0 && refused.RetryAfter <= maxRetryAfter)
		is.Equal(time.Since(began), time.Duration(0))
		time.Sleep(2 * time.Second)
		for range 5 {
			slot, err := f.placers[0].Acquire(t.Context(), plainRequest())
			is.NoErr(err)
			slot.Cancel()
		}
		f.snapshot.Endpoints["other"] = site.Endpoint{ID: "other", Service: "plain", Slots: 1000}
		f.placers[0].cache = servingCache{}
		for range 20 {
			slot, err := f.placers[0].Acquire(t.Context(), plainRequest())
			is.NoErr(err)
			is.True(slot.Endpoint.ID == "other" || len(f.placers[0].endpoint("e").sends) > 0)
			slot.Done(false)
		}
		delete(f.snapshot.Endpoints, "other")
		f.placers[0].cache = servingCache{}
		f.placers[0].recordLimit(f.placers[0].endpoint("e"), limit{started: 7, known: true, stated: f.placers[0].options.Boot()}, "")
		f.sent = nil
		f.limit = 0.0001
		f.run(t, 20*time.Second, 20, func(int) int { return 0 }, everyone(1))
		is.True(len(f.sent) >= 2 && len(f.sent) <= 10)
	})
}
