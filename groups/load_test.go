package groups

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
)

// emptyHosts returns a snapshot of n endpoints that are in no group and have no
// models on their hosts.
func emptyHosts(n int) Snapshot {
	snap := Snapshot{Now: time.Minute, Engine: testEngine, HadTraffic: true, Endpoints: map[string]EndpointState{}}
	for i := range n {
		id := fmt.Sprintf("e%02d", i)
		state := site.State{Started: 1, Fabric: "f0"}
		snap.Endpoints[id] = EndpointState{Endpoint: site.Endpoint{ID: id, State: state}, Usable: true, StateAt: snap.Now, Report: state, ReportAt: snap.Now}
	}
	return snap
}

// After a loss of power all hosts are empty and need loads. The store of weights
// allows a limited rate of loads, and concurrent loads share its throughput.
func TestLoadsAreBounded(t *testing.T) {
	is := is.New(t)
	snap := emptyHosts(60)
	p := NewPlanner(1, nil)
	p.updateRecords(snap)
	var starts []time.Duration
	most := 0
	for range 300 {
		snap.Now += testTick
		for _, o := range p.stageModels(snap) {
			is.Equal(o.Order.Verb, platform.Stage)
			starts = append(starts, snap.Now)
		}
		most = max(most, len(p.loads))
		for id, l := range p.loads {
			if e := snap.Endpoints[id]; snap.Now-l.startedAt >= l.model.Load {
				e.State.Staged = []string{l.model.Name}
				snap.Endpoints[id] = e
			}
		}
	}
	const window = 5 * time.Second
	for i := range starts {
		n := 0
		for _, at := range starts[i:] {
			if at-starts[i] < window {
				n++
			}
		}
		is.True(float64(n) <= testEngine.LoadRate*window.Seconds())
	}
	is.Equal(most, testEngine.Loads) // exactly as many as the store can supply
	is.True(len(starts) >= 2*testEngine.Loads)
}

// Where the start was late, hosts were still empty as the first request came, which a keeper
// hears of late: all loads began at once, more than the store of weights allows from then on.
func TestLoadsBeginBeforeTheFirstRequestIsHeardOf(t *testing.T) {
	is := is.New(t)
	const (
		unheard = 800 * time.Millisecond
		window  = 5 * time.Second
		overage = 1.1
		spare   = 3 // loads that are allowed besides
	)
	snap := emptyHosts(60)
	snap.HadTraffic = false
	p := NewPlanner(1, nil)
	p.updateRecords(snap)
	first := snap.Now // request
	begun := 0
	for snap.Now < first+window {
		snap.HadTraffic = snap.Now >= first+unheard
		begun += len(p.stageModels(snap))
		snap.Now += testTick
	}
	is.True(float64(begun) <= testEngine.LoadRate*window.Seconds()*overage+spare)
}

// A reassignment frees endpoints for the most underserved model. Until all are free,
// or the reservation expires, the overserved model must not take them back.
func TestReassignedEndpointsAreReserved(t *testing.T) {
	is := is.New(t)
	small := testEngine.Models[1]
	snap := emptyHosts(2)
	p := NewPlanner(1, map[string]string{"e00": "small", "e01": "small"})
	p.updateRecords(snap)
	free := map[string][]EndpointState{"f0": {snap.Endpoints["e00"], snap.Endpoints["e01"]}}
	is.Equal(len(p.chooseMembers(free, small, snap)), 2)
	p.reservations["f0"] = reservation{model: "large", until: snap.Now + reservationTime}
	is.Equal(len(p.chooseMembers(free, small, snap)), 0)
	p.formGroups(snap)
	is.Equal(len(p.reservations), 1)
	snap.Now += reservationTime + testTick
	p.formGroups(snap)
	is.Equal(len(p.reservations), 0)
	is.Equal(len(p.chooseMembers(free, small, snap)), 2)
}
