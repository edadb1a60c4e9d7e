package groups

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/site"
)

// addFree adds free endpoints of a fabric domain to a snapshot, with a model on their
// hosts unless it is empty.
func addFree(snap Snapshot, fabric string, n int, staged string) {
	for range n {
		id := fmt.Sprintf("%s-%02d", fabric, len(snap.Endpoints))
		state := site.State{Started: 1, Fabric: fabric}
		if staged != "" {
			state.Staged = []string{staged}
		}
		snap.Endpoints[id] = EndpointState{Endpoint: site.Endpoint{ID: id, State: state}, Usable: true, StateAt: snap.Now, Report: state, ReportAt: snap.Now}
	}
}

// staging returns the loads that a planner begins in the first step, as "model
// fabric", counted.
func staging(snap Snapshot) map[string]int {
	p := NewPlanner(1, nil)
	p.updateRecords(snap)
	p.demand = map[string]float64{"large": 40, "small": 40}
	got := map[string]int{}
	for range 3 { // a few start each second
		for _, o := range p.stageModels(snap) {
			p.RecordOutcome(o.To.ID, o.Order, false, nil)
			got[o.Order.Model+" "+o.To.State.Fabric]++
		}
		snap.Now += loadWindow
	}
	return got
}

// Most hosts are empty, as while endpoints are replaced one after the other. Loads that
// were spread over all fabric domains by endpoint completed no group for most of a day
// (lumiar-salao quiet-1: 26 of 50 endpoints served nobody).
func TestLoadsCompleteGroupsFirst(t *testing.T) {
	for _, c := range []struct {
		name string
		fill func(Snapshot)
		want map[string]int
	}{
		{
			"domain that lacks one of four", func(s Snapshot) {
				addFree(s, "f0", 1, "")
				addFree(s, "f1", 3, "large")
				addFree(s, "f1", 1, "")
			},
			map[string]int{"large f1": 1, "large f0": 1}, // no group of either model: the first one gets the spare
		},
		{
			"domain that lacks one of two, beside one that lacks three of four", func(s Snapshot) {
				addFree(s, "f0", 1, "large")
				addFree(s, "f0", 3, "")
				addFree(s, "f1", 1, "small")
				addFree(s, "f1", 1, "")
			},
			map[string]int{"small f1": 1, "small f0": 2, "large f0": 1}, // the last one only after the pairs
		},
		{"too few for any group", func(s Snapshot) { addFree(s, "f0", 1, "") }, map[string]int{"large f0": 1}},
		{"hosts with a model keep it", func(s Snapshot) { addFree(s, "f0", 4, "small") }, map[string]int{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			snap := Snapshot{Now: time.Minute, Engine: testEngine, HadTraffic: true, Endpoints: map[string]EndpointState{}}
			c.fill(snap)
			is.Equal(staging(snap), c.want)
		})
	}
}

// Members of groups must not take up all loads: the hosts of endpoints that come soon
// after are empty, and a load lasts for half of an outage.
func TestMembersLeaveLoadsForOthers(t *testing.T) {
	is := is.New(t)
	snap := Snapshot{Now: time.Minute, Engine: testEngine, HadTraffic: true, Endpoints: map[string]EndpointState{}}
	for i := range 20 {
		id := fmt.Sprintf("e%02d", i)
		state := site.State{Started: 1, Fabric: "f0", Models: []string{"small"}, Member: site.Member{Group: fmt.Sprint("g", i/2), Epoch: int64(i/2 + 1), Rank: i % 2, Phase: site.Open}}
		snap.Endpoints[id] = EndpointState{Endpoint: site.Endpoint{ID: id, State: state}, Usable: true, StateAt: snap.Now, Report: state, ReportAt: snap.Now}
	}
	p := NewPlanner(1, nil)
	p.updateRecords(snap)
	p.adopt(snap)
	for range 10 {
		for _, o := range p.stageModels(snap) {
			p.RecordOutcome(o.To.ID, o.Order, false, nil)
		}
		snap.Now += loadWindow
	}
	is.Equal(len(p.loads), testEngine.Loads/memberLoadShare)
	addFree(snap, "f1", 4, "")
	p.updateRecords(snap)
	p.stageModels(snap)
	is.True(len(p.loads) > testEngine.Loads/memberLoadShare) // empty hosts get the others
}

// Endpoints that are in excess of what groups need are loaded before there is traffic,
// while loads are quick, so that they can replace members of either model at once.
func TestSparesAreReadyBeforeTraffic(t *testing.T) {
	is := is.New(t)
	c := newCluster(4, 9) // four, four and one, or four, two, two and one
	p := NewPlanner(1, nil)
	c.run(p, 10*time.Second)
	spares := 0
	for id, e := range c.engines {
		if e.state.Member.Phase != site.Outside {
			continue
		}
		spares++
		state := EndpointState{Endpoint: site.Endpoint{ID: id, State: e.state}}
		is.True(p.readiness(state, "large") != absent)
		is.True(p.readiness(state, "small") != absent)
	}
	is.Equal(spares, 4)
	is.Equal(c.violations, nil)
}
