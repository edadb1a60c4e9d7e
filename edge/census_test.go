package edge

import (
	"testing"

	"github.com/matryer/is"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/site"
	"clementinehead.example/chead/watch"
)

// What is worked out from all daemons follows what is heard and the snapshot, though it is
// kept between them.
func TestCensusFollowsChanges(t *testing.T) {
	is := is.New(t)
	var c census
	heard := []gossip.Message{{From: site.Daemon{ID: "b.1", Peer: "b"}}}
	snapshot := &watch.Snapshot{Daemons: map[string]site.Daemon{"a.1": {ID: "a.1", Peer: "a"}, "c.1": {ID: "c.1", Peer: "c"}}}
	first := c.take("a.1", heard, snapshot)
	is.Equal(first.listed, 3)
	is.Equal(first.sharers, minDaemons)
	is.Equal(c.take("a.1", heard, snapshot), first)
	is.Equal(testing.AllocsPerRun(3, func() { c.take("a.1", heard, snapshot) }), 0.0)

	again := []gossip.Message{{From: site.Daemon{ID: "b.1", Peer: "b"}}, {From: site.Daemon{ID: "b.2", Peer: "b"}}}
	is.Equal(c.take("a.1", again, snapshot).listed, 4)
	is.Equal(len(c.take("a.1", again, snapshot).current), 1) // b.1 was started again
	is.Equal(c.take("a.1", again, &watch.Snapshot{}).listed, 3)
	is.Equal(c.take("a.1", nil, &watch.Snapshot{}).listed, 1)
}
