package groups

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/simul"
	"clementinehead.example/chead/site"
	"clementinehead.example/chead/watch"
)

// loader runs keepers one after the other over hosts that load what they are ordered to.
type loader struct {
	snap   Snapshot
	began  map[string]time.Duration // loads in progress: when they were ordered, by endpoint
	starts []time.Duration          // of all loads
	most   int                      // loads in progress at once, at the most
}

// run runs a keeper's planner for a time. The endpoints' states are as old as their entries.
func (l *loader) run(p *Planner, d time.Duration) {
	for end := l.snap.Now + d; l.snap.Now < end; {
		l.snap.Now += testTick
		for id, e := range l.snap.Endpoints {
			at, loading := l.began[id]
			e.State.Busy = loading && l.snap.Now-at >= testEntryLag
			e.StateAt = l.snap.Now - testEntryLag
			l.snap.Endpoints[id] = e
			if loading && l.snap.Now-at > time.Minute {
				delete(l.began, id)
			}
		}
		for _, o := range p.Step(l.snap) {
			l.began[o.To.ID] = l.snap.Now
			l.starts = append(l.starts, l.snap.Now)
			p.RecordOutcome(o.To.ID, o.Order, false, nil)
		}
		l.most = max(l.most, len(l.began))
	}
}

// Keepers follow each other while the hosts are empty. The rate of loads and their number
// at once are those of the store of weights, whoever orders them: a keeper that knew
// nothing of the loads of the one before began as many again.
func TestLoadsOfTwoKeepers(t *testing.T) {
	is := is.New(t)
	l := &loader{snap: emptyHosts(60), began: map[string]time.Duration{}}
	term := int64(0)
	for _, d := range []time.Duration{2 * testTick, 2 * testTick, time.Second, 3 * time.Second, 20 * time.Second} {
		term++
		l.run(NewPlanner(term, nil), d)
	}
	for i := range l.starts {
		n := 0
		for _, at := range l.starts[i:] {
			if at-l.starts[i] < loadWindow {
				n++
			}
		}
		is.True(float64(n) <= testEngine.LoadRate)
	}
	is.Equal(l.most, testEngine.Loads) // as many as the store can supply, and no more
}

// An endpoint that executes an order of the keeper before without end must not keep loads
// from others for ever.
func TestEndlessLoadOfTheKeeperBefore(t *testing.T) {
	is := is.New(t)
	snap := emptyHosts(20)
	for i, id := range sortedIDs(snap.Endpoints) {
		if e := snap.Endpoints[id]; i < testEngine.Loads {
			e.State.Busy = true
			snap.Endpoints[id] = e
		}
	}
	p := NewPlanner(2, nil)
	begun := func(d time.Duration) (n int) {
		for end := snap.Now + d; snap.Now < end; snap.Now += testTick {
			for _, o := range p.Step(snap) {
				is.Equal(o.Order.Verb, platform.Stage)
				n++
			}
		}
		return n
	}
	is.Equal(begun(10*time.Second), 0) // they may be loads that need as long
	is.True(begun(time.Minute) > 0)
}

// storeWith returns a watcher that has read a store with a configuration.
func storeWith(t *testing.T, config []byte) *watch.Watcher {
	t.Helper()
	store := simul.NewStore()
	store.Put(simul.ConfigKey, config)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	w := watch.New(watch.Options{
		Store: platform.NewStore(server.Listener.Addr().String(), server.Client().Do), Relays: func() []string { return nil }, Index: func() string { return "" }, Boot: clock.Boot,
		Log: logr.Discard(), Pause: func() time.Duration { return 0 }, Quick: func() bool { return true }, Others: func() bool { return true },
	})
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = w.Run(ctx) })
	t.Cleanup(running.Wait)
	t.Cleanup(stop)
	for end := time.Now().Add(5 * time.Second); w.Snapshot().Config == nil && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return w
}

// Before there is traffic, loads have no bounds and groups may be formed of endpoints that
// have to load. A daemon that takes office in a quiet moment must know that there was
// traffic while another one was keeper, also if it started since.
func TestTrafficIsKnownToTheNextKeeper(t *testing.T) {
	for _, c := range []struct {
		name  string
		heard gossip.Message
		want  bool
	}{
		{"none", gossip.Message{}, false},
		{"requests at another daemon", gossip.Message{Demand: map[string]int{"engines/m": 1}}, true},
		{"another daemon tells of it", gossip.Message{Traffic: true}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			k := newKeeper()
			k.options.Watcher = storeWith(t, simul.Config(1))
			heard := []gossip.Message{c.heard}
			heard[0].From = site.Daemon{ID: "d0"}
			heard[0].Ready, heard[0].Fresh = true, true // and so this daemon is no candidate
			k.options.Alive = func() []gossip.Message { return heard }
			k.step(t.Context())
			is.True(!k.IsKeeper())
			heard[0].Demand, heard[0].Traffic = nil, false
			k.step(t.Context())
			is.Equal(k.HadTraffic(), c.want)
		})
	}
}

// A keeper may resign, as an endpoint refuses its order by the fencing token, while it
// prepares its next step. It must not decide anything more, nor crash.
func TestKeeperResignsWithinAStep(t *testing.T) {
	is := is.New(t)
	k := newKeeper()
	k.options.Watcher = storeWith(t, simul.Config(1))
	k.term, k.termEra, k.planner = 5, k.options.Watcher.Snapshot().Era, NewPlanner(5, nil)
	k.options.Alive = func() []gossip.Message {
		return []gossip.Message{{Endpoints: map[string]gossip.EndpointLoad{"e": {Stalled: true}}}}
	}
	resigned := false
	k.options.Boot = func() time.Duration {
		if !resigned {
			resigned = true
			k.mu.Lock()
			defer k.mu.Unlock()
			k.resign("fenced", 0)
		}
		return time.Minute
	}
	k.step(t.Context())
	is.True(resigned)
	is.True(!k.IsKeeper())
}

// A member that doesn't answer requests for its report in time must not end a group whose
// requests go on: what runs there would be given up. One of a group without progress does.
func TestMemberIsSlowToReport(t *testing.T) {
	for _, c := range []struct {
		name       string
		stage      stage
		progresses bool
		silent     bool
	}{
		{"requests go on", serving, true, false},
		{"no progress", serving, false, true},
		{"its group forms", forming, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			k := newKeeper()
			k.term, k.planner = 5, NewPlanner(5, nil)
			k.planner.groups["g"] = &group{name: "g", members: []member{{id: "leader"}, {id: "e"}}, stage: c.stage}
			k.options.Progresses = func(id string) bool { return id == "leader" && c.progresses }
			k.reports["e"] = report{misses: 1, missedAt: firstLooks} // after the first looks of the term
			stored := &watch.Snapshot{Endpoints: map[string]site.Endpoint{"e": {ID: "e", Service: "s"}}}
			snap := k.snapshot(stored, site.Service{Name: "s", Engine: &testEngine})
			is.Equal(snap.Endpoints["e"].Silent, c.silent)
		})
	}
}
