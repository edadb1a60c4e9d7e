package keeper

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/prop"
	"clementinehead.example/chead/wire"
)

func TestMain(m *testing.M) { prop.Main(m.Run, prop.Properties{Seed: "20261203"}) }

// group returns the settings of a group with that many replicas of that many
// instances.
func group(replicas, size int) conf.Group {
	return conf.Group{Model: "m", Version: "1", Size: size, Replicas: replicas}
}

// currentKeeper returns the daemon that keeps the fabric domain, or nil.
func (s *simulation) currentKeeper() *daemon {
	for _, d := range s.daemons {
		if len(d.keeper.sortedTerms()) > 0 {
			return d
		}
	}
	return nil
}

// fabricValue returns the newest value of the fabric domain.
func (s *simulation) fabricValue() fleet.Fabric { return s.daemons[0].view().Fabrics["f"] }

// TestKeeperUnderFaults injects one fault at a time into a fabric domain with three
// daemons and two replicas. The rules of the simulation must hold throughout, and
// both replicas must serve 30 s after the case's last step.
func TestKeeperUnderFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault func(s *simulation, is *is.I)
	}{
		{"nothing happens", func(s *simulation, is *is.I) {
			fence := s.fabricValue().Fence
			s.runFor(time.Minute)
			is.Equal(s.fabricValue().Fence, fence)
		}},
		{"a keeper leaves and another takes over at once", func(s *simulation, is *is.I) {
			d := s.currentKeeper()
			s.update(func() { s.roster, s.standings[d.id] = nil, wire.Standing_STANDING_LEAVING })
			s.runFor(4 * time.Second)
			is.True(s.currentKeeper() != nil)
			is.True(s.currentKeeper() != d)
		}},
		{"a keeper is paused past its lease", func(s *simulation, is *is.I) {
			d := s.currentKeeper()
			s.update(func() { d.paused = true })
			s.runFor(30 * time.Second)
			s.update(func() { s.endpoints["f-1"].restart() })
			s.runFor(30 * time.Second)
			s.update(func() { d.paused = false })
			s.runFor(10 * time.Second)
			is.True(s.currentKeeper() != d)
			is.Equal(s.fabricValue().Keeper, s.currentKeeper().id)
		}},
		{"a daemon that is keeper and gate dies", func(s *simulation, is *is.I) {
			d := s.currentKeeper()
			s.update(func() { d.paused = true; s.setDead(d, true) })
			s.runFor(6 * time.Second)
			for _, r := range s.fabricValue().Replicas {
				is.True(r.Gate != d.id)
			}
			is.Equal(s.servingCount("g"), 2)
		}},
		{"nothing is moved while the store is down", func(s *simulation, is *is.I) {
			s.store.Down(true)
			s.update(func() { s.endpoints["f-1"].down = true })
			fence := s.fabricValue().Fence
			s.runFor(time.Minute)
			is.Equal(s.fabricValue().Fence, fence)
			s.store.Down(false)
			s.runFor(30 * time.Second)
			is.Equal(s.servingCount("g"), 2)
		}},
		{"the answer to a write is lost, and its decisions are in the audit log once", func(s *simulation, is *is.I) {
			s.store.LoseAnswers(1)
			s.update(func() { s.endpoints["f-1"].down = true })
			s.runFor(30 * time.Second)
			ids := map[string]bool{}
			mends := 0
			for _, entry := range s.auditLog {
				is.True(!ids[entry.ID])
				ids[entry.ID] = true
				if entry.Action == "mend" {
					mends++
				}
			}
			is.Equal(mends, 1)
		}},
		{"a write is lost before it reaches the store", func(s *simulation, is *is.I) {
			s.update(func() { s.dropWrites = 2 })
			s.update(func() { s.endpoints["f-1"].down = true })
			s.runFor(30 * time.Second)
			is.Equal(s.dropWrites, 0)
		}},
		{"old orders arrive late at endpoints, also at those that don't check fencing tokens", func(s *simulation, _ *is.I) {
			d := s.currentKeeper()
			s.update(func() { d.orderDelay = 7 * time.Second; s.setDead(s.daemons[0], true) })
			s.runFor(3 * time.Second)
			s.update(func() { s.setDead(s.daemons[0], false) })
			s.update(func() { s.endpoints["f-2"].restart() })
			s.runFor(3 * time.Second)
			s.update(func() { d.orderDelay = 0 })
			s.runFor(30 * time.Second)
		}},
		{"an order of another replica reaches a member that doesn't check fencing tokens", func(s *simulation, is *is.I) {
			s.update(func() {
				s.endpoints["f-2"].apply(engine.Order{Fence: 1, Replica: "old", Model: "m", Version: "1"}, s.loadTime)
			})
			s.runFor(time.Second)
			is.Equal(s.servingCount("g"), 1)
		}},
		{"a keeper that can't reach any instance gives up the fabric domain", func(s *simulation, is *is.I) {
			d := s.currentKeeper()
			s.update(func() {
				for id := range s.endpoints {
					d.unreachable[id] = true
				}
			})
			s.runFor(30 * time.Second)
			is.True(s.currentKeeper() != d)
			for _, r := range s.fabricValue().Replicas {
				is.Equal(r.State, chart.Serving)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSimulation()
				defer s.stop()
				s.addFabric("f", "d", 10)
				s.document.Groups["g"] = group(2, 4)
				s.configure()
				for _, id := range []string{"a", "b", "c"} {
					s.start(context.Background(), id, "d")
				}
				s.runFor(time.Minute)
				is.Equal(s.servingCount("g"), 2)
				c.fault(s, is)
				s.runFor(30 * time.Second)
				is.Equal(s.violations, nil)
				is.Equal(s.servingCount("g"), 2)
			})
		})
	}
}

// TestStatusExplainsAnOutage checks how the status words an outage: the silent member,
// its replacement and the load time.
func TestStatusExplainsAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSimulation()
		defer s.stop()
		s.addFabric("f", "d", 5)
		s.document.Groups["g"] = group(1, 4)
		s.configure()
		s.start(context.Background(), "a", "d")
		s.runFor(time.Minute)
		s.update(func() { s.endpoints["f-2"].down = true })
		s.runFor(30 * time.Second)
		outages := s.daemons[0].keeper.Status()[0].Outages
		is.Equal(outages[len(outages)-1], "group g down 7.0 s: member f-2 silent, spare f-5 for f-2, load 4.0 s")
	})
}
