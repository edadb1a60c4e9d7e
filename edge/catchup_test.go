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
	const forEver = 24 * time.Hour
	settled := func(n, era, settled int64) watch.Snapshot {
		s := version(n)
		s.Settled = watch.Settled{Era: era, Version: settled, Revision: 40}
		return s
	}
	// written is as settled in era 1, where the configuration was written at a revision.
	written := func(n, at, recorded int64) watch.Snapshot {
		s := settled(n, 1, recorded)
		s.ConfigAt, s.EraRevision = at, 50
		return s
	}
	rewritten := func(n int64) watch.Snapshot {
		s := version(n)
		s.ConfigAt = s.EraRevision + 1
		return s
	}
	moved := func(n, recorded int64) watch.Snapshot {
		s := settled(n, 1, recorded)
		s.Moved = true
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
		want   basis
	}{
		{"no configuration", watch.Snapshot{Era: 2}, nil, forEver, unshown},
		{"older than a peer's", version(5), holding(9), forEver, unshown},
		{"as new as a peer's, which may have it from the copy too", version(9), holding(9), forEver, unshown},
		{"newer than a peer's", version(9), holding(5), forEver, unshown},
		{"just listed", version(5), nil, 0, unshown},
		{"nobody heard, none listed", version(5), nil, forEver, unshown},
		{"nobody heard, others listed", listing, nil, forEver, unshown},
		{"a peer saw the store come back lately", rewritten(9), rewound, forEver, unshown},
		{"settled", settled(5, 2, 5), nil, listenWait, settledVersion},
		{"settled, later version", settled(6, 2, 5), nil, listenWait, settledVersion},
		{"settled, not listened yet", settled(5, 2, 5), nil, listenWait - 1, unshown},
		{"settled, a peer holds a newer one", settled(5, 2, 5), holding(6), forEver, unshown},
		{"a newer one is settled", settled(5, 2, 6), nil, forEver, unshown},
		{"a newer one is settled, peers are as old", settled(5, 2, 6), holding(5), forEver, unshown},
		{"settled in the era before", settled(5, 1, 5), nil, forEver, unshown},
		{"a newer one was settled in the era before", written(5, 41, 6), nil, forEver, unshown},
		{"in the copy, before the record", written(5, 39, 5), nil, forEver, unshown},
		{"in the copy, held since the era before", written(5, 0, 5), nil, forEver, unshown},
		{"written after the record", written(5, 41, 5), nil, listenWait, writtenSinceRecord},
		{"newer, written after the record", written(6, 41, 5), nil, listenWait, writtenSinceRecord},
		{"written after the record, a peer holds a newer one", written(6, 41, 5), holding(7), forEver, unshown},
		{"written after a record that can't be decoded", written(6, 41, 0), nil, forEver, unshown},
		{"at another revision, no record in the copy", moved(5, 0), nil, listenWait, movedRevision},
		{"at another revision, a record in the copy", moved(5, 5), nil, forEver, unshown},
		{"written again", rewritten(5), nil, listenWait, rewrittenVersion},
		{"written again, a peer holds a newer one", rewritten(5), holding(6), forEver, unshown},
		{"store that no daemon has used, not recorded yet", unused(5), nil, forEver, unshown},
		{"store that no daemon has used, a peer holds a newer one", unused(5), holding(6), forEver, unshown},
		{"first era", watch.Snapshot{Config: &site.Config{Version: 5}}, nil, 0, firstEra},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			none := func() []gossip.Message { return nil }
			state := catchUp{self: "d1"}
			state.update(&watch.Snapshot{}, c.peers, 0)
			state.update(&c.held, c.peers, started)
			state.update(&c.held, c.peers, started+c.waited)
			is.Equal(state.basis(&c.held, none), c.want)
			is.Equal(state.allows(&c.held, none), c.want.holds())
			state.update(&c.held, holding(99), started+c.waited)
			is.Equal(state.basis(&c.held, none), c.want) // once shown, a newer configuration arrives by the watch
		})
	}
}

// A daemon that can't know which configuration is the newest takes callers, whose requests may
// need no key, once it knows what the others tell and one of them takes callers, or after
// aloneWait. One whose configuration is known to be older doesn't.
func TestCallersOfADaemonThatAcceptsNoKeys(t *testing.T) {
	ready := []gossip.Message{{Version: 5, Ready: true}}
	for _, c := range []struct {
		name   string
		peers  []gossip.Message
		waited time.Duration
		want   bool
	}{
		{"not listened yet", ready, listenWait - 1, false},
		{"another one takes callers", ready, listenWait, true},
		{"another one doesn't", holding(5), aloneWait - 1, false},
		{"no other one does, for long", holding(5), aloneWait, true},
		{"alone", nil, aloneWait - 1, false},
		{"alone for long", nil, aloneWait, true},
		{"another one holds a newer one", []gossip.Message{{Version: 6, Ready: true}}, time.Hour, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			held := version(5)
			state := catchUp{self: "d1"}
			state.update(&held, c.peers, 0)
			state.update(&held, c.peers, c.waited)
			peers := func() []gossip.Message { return c.peers }
			is.True(!state.allows(&held, peers))
			is.Equal(state.takesCallers(&held, peers), c.want)
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

// Guards against CONFIG: a running daemon took the configuration that it held, as did the
// others, for the newest one in a new era of the store, which may have lost a newer one that
// none of them had read: as the store went away, or while it turned this daemon away.
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
		{"older than the others'", 1, 0, holding(2), time.Hour, false},
		{"as new", 2, 0, holding(2), time.Hour, false},
		{"newer", 3, 0, holding(2), time.Hour, false},
		{"the others saw the store come back too", 2, 0, []gossip.Message{{Version: 2, Rewound: true}}, time.Hour, false},
		{"none heard", 2, 0, nil, time.Hour, false},
		{"none heard, settled", 2, 2, nil, 0, true},
		{"settled", 2, 2, holding(2), 0, true},
		{"settled, older than the others'", 2, 2, holding(3), 0, false},
		{"none heard, a newer one is settled", 1, 2, nil, time.Hour, false},
		{"others are as old, a newer one is settled", 1, 2, holding(1), time.Hour, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			alive := func() []gossip.Message { return c.alive }
			state := catchUp{self: "d1"}
			before := &watch.Snapshot{Era: 4, Config: &site.Config{Version: 1}, Daemons: listed, Settled: watch.Settled{Era: 4, Version: 1}}
			state.update(before, holding(1), 0)
			state.update(before, holding(1), time.Minute)
			is.True(state.allows(before, alive)) // in the same era a newer one arrives by the watch
			copied := &watch.Snapshot{Era: 5, Config: &site.Config{Version: c.version}, Daemons: listed, EraRevision: 7, ConfigAt: 6}
			if c.settled > 0 {
				copied.Settled = watch.Settled{Era: 5, Version: c.settled}
			}
			state.update(copied, c.alive, time.Hour)
			state.update(copied, c.alive, time.Hour+c.waited)
			is.Equal(state.allows(copied, alive), c.want)
			is.Equal(state.takesCallers(copied, alive), c.want || state.shows(copied, c.alive) == unshown)
			again := *copied
			again.Config, again.ConfigAt = &site.Config{Version: 9}, 8 // written again
			is.True(state.allows(&again, alive))
		})
	}
}

// Guards against CONFIG: a daemon that runs alone has no more proof than another one that the
// copy from which the store came back lacks nothing.
func TestSoleDaemonAfterTheStoreCameBack(t *testing.T) {
	for _, c := range []struct {
		name   string
		others []gossip.Message
	}{
		{"alone", nil},
		{"knew others", holding(1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			none := func() []gossip.Message { return nil }
			state := catchUp{self: "d1"}
			before := &watch.Snapshot{Era: 1, Config: &site.Config{Version: 1}, Settled: watch.Settled{Era: 1, Version: 1}}
			state.update(before, c.others, 0)
			state.update(before, c.others, time.Minute)
			is.True(state.allows(before, none))
			copied := &watch.Snapshot{Era: 2, Config: &site.Config{Version: 1}, ConfigAt: 6, EraRevision: 7}
			state.update(copied, nil, time.Hour)
			is.True(!state.allows(copied, none))
			is.True(state.takesCallers(copied, none)) // they may need no key
		})
	}
}

// Others have their time to write a record first, and what was written isn't written again at
// once, though the watch doesn't show it yet.
func TestTurnToRecord(t *testing.T) {
	is := is.New(t)
	now, delay := time.Hour, time.Duration(0)
	turn := turn{now: func() time.Duration { return now }, delay: func() time.Duration { return delay }}
	is.True(!turn.isDue(false, 1, 7))
	is.True(turn.isDue(true, 1, 7))
	is.True(!turn.isDue(true, 1, 7))
	now += settleYield
	is.True(turn.isDue(true, 1, 7)) // the call may have failed
	is.True(!turn.isDue(true, 2, 7))
	now += settleInterval
	is.True(turn.isDue(true, 2, 7))
	is.True(!turn.isDue(false, 2, 7))
	now, delay = now+time.Minute, keeperYield
	is.True(!turn.isDue(true, 3, 7))
	now += keeperYield - 1
	is.True(!turn.isDue(true, 3, 7))
	is.True(!turn.isDue(true, 3, 8)) // another daemon has written an older version
	now += keeperYield - 1
	is.True(!turn.isDue(true, 4, 8))
	now++
	is.True(turn.isDue(true, 4, 8))
}
