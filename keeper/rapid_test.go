package keeper

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/wire"

	"pgregory.net/rapid"
)

// noDeadline hides the deadline of a test, since it can't be requested in a synctest
// bubble.
type noDeadline struct{ rapid.TB }

// injectFault draws one fault, or the end of one. For "lose answers" and "drop
// writes", a quarter of the drawn seconds is the number of answers or writes.
func (s *simulation) injectFault(t *rapid.T) {
	d := s.daemons[rapid.IntRange(0, len(s.daemons)-1).Draw(t, "daemon")]
	e := s.endpoints[rapid.SampledFrom([]string{"f-1", "f-2", "f-3", "f-4", "f-5", "f-6", "f-7", "f-8"}).Draw(t, "instance")]
	on := rapid.Bool().Draw(t, "on")
	seconds := time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second
	fault := rapid.SampledFrom([]string{
		"kill", "restart", "cut", "pause", "delay orders", "store down", "lose answers", "drop writes", "freeze view", "delete key", "second keeper", "drain", "version", "replicas", "daemon dead",
	}).Draw(t, "fault")
	switch fault {
	case "delete key":
		s.deleteKeeperKey()
		return
	case "second keeper":
		s.startRival()
		return
	case "store down":
		s.store.Down(on)
		return
	case "lose answers":
		s.store.LoseAnswers(int(seconds / time.Second / 4))
		return
	case "freeze view":
		v := d.view()
		s.update(func() { d.frozenView = v })
		if !on {
			s.update(func() { d.frozenView = nil })
		}
		return
	}
	s.update(func() {
		switch fault {
		case "kill":
			e.down = true
		case "restart":
			e.restart()
		case "cut":
			d.unreachable[e.ID] = on
		case "pause":
			d.paused = on
		case "delay orders":
			d.orderDelay = 0
			if on {
				d.orderDelay = seconds
			}
		case "drop writes":
			s.dropWrites = int(seconds / time.Second / 4)
		case "daemon dead":
			s.setDead(d, on)
		case "drain":
			s.document.Instances[e.ID] = conf.Instance{Out: on}
		case "version":
			g := s.document.Groups["g"]
			g.Version = map[bool]string{true: "1", false: "2"}[on]
			s.document.Groups["g"] = g
		case "replicas":
			g := s.document.Groups["g"]
			g.Replicas = map[bool]int{true: 1, false: 2}[on]
			s.document.Groups["g"] = g
		}
	})
	s.configure()
}

// setDead makes the roster list a daemon as dead, or as alive again. daemonList
// then makes the roster again with the new standing.
func (s *simulation) setDead(d *daemon, dead bool) {
	s.roster = nil
	s.standings[d.id] = wire.Standing_STANDING_ALIVE
	if dead {
		s.standings[d.id] = wire.Standing_STANDING_DEAD
	}
}

// deleteKeeperKey deletes the keeper's key, so that another daemon becomes keeper
// while the first one still holds its lease.
func (s *simulation) deleteKeeperKey() {
	ctx := context.Background()
	direct := (&daemon{sim: s}).storeClient()
	if entry, err := direct.Get(ctx, prefix+"f"); err == nil {
		_ = direct.Delete(ctx, entry.Key, entry.Revision)
	}
}

// endFaults ends all faults.
func (s *simulation) endFaults() {
	s.store.Down(false)
	s.store.LoseAnswers(0)
	s.update(func() {
		s.dropWrites = 0
		for _, d := range s.daemons {
			d.paused, d.orderDelay, d.frozenView = false, 0, nil
			clear(d.unreachable)
			s.setDead(d, false)
		}
		for _, e := range s.endpoints {
			if e.down {
				e.restart()
			}
		}
		clear(s.document.Instances)
	})
	s.configure()
}

// startRival lets a second keeper begin while the first one learns of no changes.
func (s *simulation) startRival() {
	for _, d := range s.daemons {
		if len(d.keeper.sortedTerms()) > 0 {
			v := d.view()
			s.update(func() { d.frozenView = v })
		}
	}
	s.deleteKeeperKey()
}

// runFor lets time pass and checks the replicas every 200 ms.
func (s *simulation) runFor(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		s.checkReplicas()
	}
}

// TestInvariantsHoldUnderRandomFaults draws faults of the store, the network, the
// daemons and the endpoints, also several at once. Meanwhile no rule of the
// simulation may break. When all faults have ended, each group must get all its
// replicas back within about two minutes.
func TestInvariantsHoldUnderRandomFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(t *rapid.T) {
			s := newSimulation()
			defer s.stop()
			s.addFabric("f", "d", 8)
			s.document.Groups["g"] = group(2, 2)
			s.document.Groups["h"] = group(1, 3)
			s.configure()
			for _, id := range []string{"a", "b", "c"} {
				s.start(context.Background(), id, "d")
			}
			time.Sleep(20 * time.Second)
			for range rapid.IntRange(1, 30).Draw(t, "faults") {
				s.injectFault(t)
				s.runFor(time.Duration(rapid.IntRange(0, 25).Draw(t, "pause")) * 200 * time.Millisecond)
				if len(s.violations) > 0 {
					t.Fatal(s.violations[0])
				}
			}
			s.endFaults()
			s.runFor(20 * time.Second)
			time.Sleep(100 * time.Second)
			s.runFor(time.Second)
			if len(s.violations) > 0 {
				t.Fatal(s.violations[0])
			}
			for _, name := range []string{"g", "h"} {
				if got, want := s.servingCount(name), s.document.Groups[name].Replicas; got != want {
					t.Fatalf("group %s: %d replicas serve after the faults, %d wanted", name, got, want)
				}
			}
		})
	})
}
