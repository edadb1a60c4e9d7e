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
