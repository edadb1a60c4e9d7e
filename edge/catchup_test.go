package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/site"
	"clementinehead.example/chead/watch"
)

// A daemon that starts after the store came back from an older copy must not accept
// keys by a configuration that is older than that of the running daemons.
func TestCatchUp(t *testing.T) {
	peers := func(version int64) []gossip.Message { return []gossip.Message{{Version: version}} }
	for _, c := range []struct {
		name    string
		era     int64
		version int64 // 0 for no configuration
		peers   []gossip.Message
		waited  time.Duration
		want    bool
	}{
		{"no configuration", 2, 0, nil, time.Minute, false},
		{"older than a peer's", 2, 5, peers(9), time.Minute, false},
		{"as new as a peer's", 2, 9, peers(9), time.Minute, true},
		{"newer than a peer's", 2, 9, peers(5), time.Minute, true},
		{"peers not heard yet", 2, 5, nil, 100 * time.Millisecond, false},
		{"a peer saw the store come back lately", 2, 9, []gossip.Message{{Version: 9, Rewound: true}}, time.Minute, false},
		{"no peers", 2, 5, nil, time.Minute, true},
		{"first era", 0, 5, nil, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			held := &watch.Snapshot{Era: c.era}
			if c.version > 0 {
				held.Config = &site.Config{Version: c.version}
			}
			var state catchUp
			state.update(held, c.peers, c.waited)
			is.Equal(state.done.Load(), c.want)
			state.update(held, peers(99), c.waited)
			is.Equal(state.done.Load(), c.want) // once done, a newer configuration arrives by the watch
		})
	}
}

// Other daemons are listed and not heard yet, as on a busy machine: what they know is awaited
// for longer.
func TestCatchUpWaitsForListedDaemons(t *testing.T) {
	is := is.New(t)
	held := &watch.Snapshot{Era: 2, Config: &site.Config{Version: 5}, Daemons: map[string]site.Daemon{"d0": {ID: "d0"}}}
	state := catchUp{self: "d1"}
	state.update(held, nil, 2*time.Second)
	is.True(!state.done.Load())
	state.update(held, []gossip.Message{{Version: 5, Rewound: true}}, 2*time.Second)
	is.True(!state.done.Load())
	state.update(held, []gossip.Message{{Version: 5}}, 2*time.Second)
	is.True(state.done.Load())
	alone := catchUp{self: "d0"}
	alone.update(held, nil, catchUpWait)
	is.True(alone.done.Load())
	held.Daemons["d0"] = site.Daemon{ID: "d0", Peer: "here"}
	again := catchUp{self: "d1", peer: "here"} // d0 is an earlier start of it
	again.update(held, nil, catchUpWait)
	is.True(again.done.Load())
}

// Guards against CONFIG: a running daemon that the store had turned away while the
// configuration changed took up the older one of the copy from which the store came back.
func TestRunningDaemonTakesUpAnOlderConfiguration(t *testing.T) {
	others := func(version int64) []gossip.Message { return []gossip.Message{{Version: version}} }
	listed := map[string]site.Daemon{"d0": {ID: "d0"}, "d1": {ID: "d1"}}
	for _, c := range []struct {
		name    string
		version int64 // held, in the new era
		alive   []gossip.Message
		waited  time.Duration // since the new era was seen
		want    bool
	}{
		{"older than the others'", 1, others(2), time.Minute, false},
		{"as new", 2, others(2), 0, true},
		{"newer", 3, others(2), 0, true},
		{"the others saw the store come back too", 2, []gossip.Message{{Version: 2, Rewound: true}}, 0, true},
		{"none heard yet", 2, nil, unheardWait / 2, false},
		{"none heard for long", 2, nil, unheardWait, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			alive := func() []gossip.Message { return c.alive }
			state := catchUp{self: "d1"}
			before := &watch.Snapshot{Era: 4, Config: &site.Config{Version: 1}, Daemons: listed}
			state.update(before, others(1), time.Minute)
			is.True(state.allows(before, alive)) // in the same era a newer one arrives by the watch
			copied := &watch.Snapshot{Era: 5, Config: &site.Config{Version: c.version}, Daemons: listed}
			state.update(copied, c.alive, time.Hour)
			state.update(copied, c.alive, time.Hour+c.waited)
			is.Equal(state.allows(copied, alive), c.want)
			copied.Config = &site.Config{Version: 2} // written again
			is.True(state.allows(copied, func() []gossip.Message { return others(2) }))
		})
	}
}
