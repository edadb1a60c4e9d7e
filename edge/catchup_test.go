package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/site"
	"clementinehead.example/chead/watch"
)

// version returns a snapshot in the second era that holds a version of the configuration.
func version(n int64) watch.Snapshot {
	return watch.Snapshot{Era: 2, Config: &site.Config{Version: n}}
}

// holding returns the message of one other daemon that holds a version.
func holding(n int64) []gossip.Message { return []gossip.Message{{Version: n}} }

// Guards against CONFIG: a daemon that started while the store was away took the time since
// its start for a proof that no newer configuration had been in force, and accepted a key by
// the older copy from which the store came back. A row's times count from its first listing.
func TestCatchUp(t *testing.T) {
	started := time.Hour // long before the first listing, which proves nothing
	settled := func(n, era, settled int64) watch.Snapshot {
		s := version(n)
		s.Settled = watch.Settled{Era: era, Version: settled}
		return s
	}
	rewritten := func(n int64) watch.Snapshot {
		s := version(n)
		s.Rewritten = true
		return s
	}
	unused := func(n int64) watch.Snapshot {
		s := version(n)
		s.Unused = true
		return s
	}
	listing := version(5)
	listing.Daemons = map[string]site.Daemon{"d0": {ID: "d0"}}
	rewound := []gossip.Message{{Version: 9, Rewound: true}}
	for _, c := range []struct {
		name   string
		held   watch.Snapshot
		peers  []gossip.Message
		waited time.Duration
		want   bool
	}{
		{"no configuration", watch.Snapshot{Era: 2}, nil, time.Minute, false},
		{"older than a peer's", version(5), holding(9), time.Minute, false},
		{"as new as a peer's, which may have it from the copy too", version(9), holding(9), rewriteWait - 1, false},
		{"as new as a peer's", version(9), holding(9), rewriteWait, true},
		{"newer than a peer's", version(9), holding(5), rewriteWait, true},
		{"just listed", version(5), nil, 0, false},
		{"nobody heard, none listed", version(5), nil, rewriteWait - 1, false},
		{"nobody heard, none listed, time to write again", version(5), nil, rewriteWait, true},
		{"nobody heard, others listed", listing, nil, rewriteWait - 1, false},
		{"nobody heard, others listed, time to write again", listing, nil, rewriteWait, true},
		{"a peer saw the store come back lately", version(9), rewound, time.Minute, false},
		{"settled", settled(5, 2, 5), nil, listenWait, true},
		{"settled, later version", settled(6, 2, 5), nil, listenWait, true},
		{"settled, not listened yet", settled(5, 2, 5), nil, listenWait - 1, false},
		{"settled, a peer holds a newer one", settled(5, 2, 5), holding(6), time.Minute, false},
		{"a newer one is settled", settled(5, 2, 6), nil, time.Minute, false},
		{"a newer one is settled, peers are as old", settled(5, 2, 6), holding(5), time.Minute, false},
		{"settled in the era before", settled(5, 1, 5), nil, rewriteWait - 1, false},
		{"written again", rewritten(5), nil, listenWait, true},
		{"written again, a peer holds a newer one", rewritten(5), holding(6), time.Minute, false},
		{"store that no daemon has used, not recorded yet", unused(5), nil, rewriteWait - 1, false},
		{"store that no daemon has used, time to write again", unused(5), nil, rewriteWait, true},
		{"store that no daemon has used, a peer holds a newer one", unused(5), holding(6), time.Minute, false},
		{"first era", watch.Snapshot{Config: &site.Config{Version: 5}}, nil, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			none := func() []gossip.Message { return nil }
			state := catchUp{self: "d1"}
			state.update(&watch.Snapshot{}, c.peers, 0)
			state.update(&c.held, c.peers, started)
			state.update(&c.held, c.peers, started+c.waited)
			is.Equal(state.allows(&c.held, none), c.want)
			state.update(&c.held, holding(99), started+c.waited)
			is.Equal(state.allows(&c.held, none), c.want) // once shown, a newer configuration arrives by the watch
		})
	}
}

// In a store that no daemon has used, a daemon records the version before it goes by it: a
// copy without the record is then older than all that was in force.
func TestUnusedStoreIsSettledFirst(t *testing.T) {
	is := is.New(t)
	state := catchUp{self: "d1"}
	held := version(5)
	held.Unused = true
	state.update(&held, nil, 0)
	is.True(!state.unused.Load()) // it listens first
	state.update(&held, nil, listenWait)
	is.True(state.unused.Load())
	is.True(!state.running.Load())
	state.update(&held, holding(6), listenWait)
	is.True(!state.unused.Load()) // another daemon holds a newer one
	held.Settled = watch.Settled{Era: 2, Version: 5}
	state.update(&held, holding(5), listenWait)
	is.True(!state.unused.Load())
	is.True(state.running.Load())
}

// Other daemons are listed and not heard yet, as on a busy machine: what they know besides
// the configuration is awaited for longer.
func TestCatchUpWaitsForListedDaemons(t *testing.T) {
	here := site.Daemon{ID: "d0", Peer: "here"}
	for _, c := range []struct {
		name       string
		self, peer string
		peers      []gossip.Message
		wait       time.Duration // 0 for ever
	}{
		{"not heard", "d1", "", nil, unheardWait},
		{"saw the store come back", "d1", "", []gossip.Message{{Version: 5, Rewound: true}}, 0},
		{"heard", "d1", "", holding(5), listenWait},
		{"it is this one", "d0", "", nil, listenWait},
		{"it is an earlier start of this one", "d1", "here", nil, listenWait},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			state := catchUp{self: c.self, peer: c.peer}
			held := version(5)
			held.Settled = watch.Settled{Era: 2, Version: 5}
			held.Daemons = map[string]site.Daemon{"d0": here}
			state.update(&held, c.peers, 0)
			if c.wait == 0 {
				state.update(&held, c.peers, time.Hour)
				is.True(!state.running.Load())
				return
			}
			state.update(&held, c.peers, c.wait-1)
			is.True(!state.running.Load())
			state.update(&held, c.peers, c.wait)
			is.True(state.running.Load())
		})
	}
}

// Guards against CONFIG: a running daemon that the store had turned away while the
// configuration changed took up the older one of the copy from which the store came back.
func TestRunningDaemonTakesUpAnOlderConfiguration(t *testing.T) {
	listed := map[string]site.Daemon{"d0": {ID: "d0"}, "d1": {ID: "d1"}}
	for _, c := range []struct {
		name    string
		version int64 // held, in the new era
		settled int64 // in the new era, 0 for none
		alive   []gossip.Message
		waited  time.Duration // since the new era was seen
		want    bool
	}{
		{"older than the others'", 1, 0, holding(2), time.Minute, false},
		{"as new", 2, 0, holding(2), 0, true},
		{"newer", 3, 0, holding(2), 0, true},
		{"the others saw the store come back too", 2, 0, []gossip.Message{{Version: 2, Rewound: true}}, 0, true},
		{"none heard yet", 2, 0, nil, unheardWait / 2, false},
		{"none heard for long", 2, 0, nil, rewriteWait - 1, false},
		{"none heard, time to write again", 2, 0, nil, rewriteWait, true},
		{"none heard, settled", 2, 2, nil, 0, true},
		{"none heard, a newer one is settled", 1, 2, nil, time.Minute, false},
		{"others are as old, a newer one is settled", 1, 2, holding(1), time.Minute, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			alive := func() []gossip.Message { return c.alive }
			state := catchUp{self: "d1"}
			before := &watch.Snapshot{Era: 4, Config: &site.Config{Version: 1}, Daemons: listed, Settled: watch.Settled{Era: 4, Version: 1}}
			state.update(before, holding(1), 0)
			state.update(before, holding(1), time.Minute)
			is.True(state.allows(before, alive)) // in the same era a newer one arrives by the watch
			state.update(before, holding(1), time.Minute)
			copied := &watch.Snapshot{Era: 5, Config: &site.Config{Version: c.version}, Daemons: listed}
			if c.settled > 0 {
				copied.Settled = watch.Settled{Era: 5, Version: c.settled}
			}
			state.update(copied, c.alive, time.Hour)
			state.update(copied, c.alive, time.Hour+c.waited)
			is.Equal(state.allows(copied, alive), c.want)
			copied.Config = &site.Config{Version: 2} // written again
			is.True(state.allows(copied, func() []gossip.Message { return holding(2) }))
		})
	}
}

// A daemon that has run alone goes on at once after the store came back; one that knew others
// doesn't take an older copy, which may list none, for a proof that there are none.
func TestSoleDaemonAfterTheStoreCameBack(t *testing.T) {
	for _, c := range []struct {
		name   string
		others []gossip.Message
		want   bool
	}{
		{"alone", nil, true},
		{"knew others", holding(1), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			state := catchUp{self: "d1"}
			before := &watch.Snapshot{Era: 1, Config: &site.Config{Version: 1}, Settled: watch.Settled{Era: 1, Version: 1}}
			state.update(before, c.others, 0)
			state.update(before, c.others, time.Minute)
			state.update(before, c.others, time.Minute)
			copied := &watch.Snapshot{Era: 2, Config: &site.Config{Version: 1}}
			is.Equal(state.allows(copied, func() []gossip.Message { return nil }), c.want)
		})
	}
}
