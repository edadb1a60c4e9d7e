package groups

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/site"
)

// slowCase is a fabric domain with a group of four, one of them slow, and free
// endpoints that are ready for its model.
func slowCase(free int) (Snapshot, *Planner, *group) {
	snap := Snapshot{Now: time.Minute, Engine: testEngine, HadTraffic: true, Endpoints: map[string]EndpointState{}}
	p := NewPlanner(1, nil)
	addFree(snap, "f0", free, "large")
	p.updateRecords(snap)
	g := &group{name: "g1", epoch: 1, model: testEngine.Models[0], stage: serving}
	for i, id := range []string{"a", "b", "c", "d"} {
		state := site.State{Started: 1, Fabric: "f0", Models: []string{"large"}, Pace: 1, Member: site.Member{Group: "g1", Epoch: 1, Rank: i, Phase: site.Open}}
		if id == "c" {
			state.Pace = 12
		}
		snap.Endpoints[id] = EndpointState{Endpoint: site.Endpoint{ID: id, State: state}, Usable: true, StateAt: snap.Now, Report: state, ReportAt: snap.Now}
		g.members = append(g.members, member{id: id, started: 1})
	}
	p.groups["g1"] = g
	p.updateRecords(snap)
	p.updateSlow(snap)
	return snap, p, g
}

// A member that is twelve times slower than usual slows down its whole group. With a
// free endpoint in its place the group is worth twelve times as much; without one the
// slow group is better than none, and counts for what it serves.
func TestSlowMemberIsReplaced(t *testing.T) {
	is := is.New(t)
	snap, p, g := slowCase(1)
	p.replaceSlowMembers(snap)
	is.Equal(g.stage, closing)
	is.Equal(g.cause, "member c is slow")

	snap, p, g = slowCase(0)
	p.replaceSlowMembers(snap)
	is.Equal(g.stage, serving)
	for _, b := range p.balances(snap) {
		if b.model.Name == "large" {
			is.Equal(b.groups, 0)
			is.True(b.slower > 0.08 && b.slower < 0.09)
		}
	}
}

// A slow endpoint joins no group until its own report shows that it has recovered, or
// nothing was heard of it for slowMemory.
func TestSlowEndpointIsNotUsed(t *testing.T) {
	is := is.New(t)
	snap, p, g := slowCase(0)
	delete(p.groups, g.name)
	c := snap.Endpoints["c"]
	p.records["c"].outside = true
	is.Equal(p.SlowEndpoints(), []string{"c"})
	inUse := func() bool {
		for _, e := range p.freeEndpoints(snap)["f0"] {
			if e.ID == "c" {
				return true
			}
		}
		return false
	}
	p.records["c"].sequenceKnown = true
	is.True(!inUse())
	c.Report.Pace = 1
	c.ReportAt += time.Second
	snap.Now += time.Second
	snap.Endpoints["c"] = c
	p.updateSlow(snap)
	is.True(inUse())
}

// Reassignments cost service and loads. They are not made for a model whose groups
// have room, even if its share of the endpoints is small (lumiar-salao scale-1: five in
// 20 s, to and fro, without a refused request).
func TestNoReassignmentWhileThereIsRoom(t *testing.T) {
	is := is.New(t)
	c, p := servingCluster(3, 10)
	before := c.servingGroups()
	c.demand = map[string]int{"large": 10, "small": before["small"] * testEngine.Slots / 2}
	c.run(p, 20*time.Second)
	is.Equal(c.servingGroups(), before)
}
