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

func group(replicas, size int) conf.Group {
	return conf.Group{Model: "m", Version: "1", Size: size, Replicas: replicas}
}

// keeping returns the daemon that keeps the fabric domain, or nil.
func (w *world) keeping() *host {
	for _, h := range w.hosts {
		if len(h.keeper.current()) > 0 {
			return h
		}
	}
	return nil
}

// value returns the newest value of the fabric domain.
func (w *world) value() fleet.Fabric { return w.hosts[0].view().Fabrics["f"] }

func TestKeeperUnderFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault func(w *world, is *is.I)
	}{
		{"nothing happens", func(w *world, is *is.I) {
			fence := w.value().Fence
			w.watch(time.Minute)
			is.Equal(w.value().Fence, fence)
		}},
		{"a keeper leaves, and another follows at once", func(w *world, is *is.I) {
			h := w.keeping()
			w.set(func() { w.roster, w.standings[h.id] = nil, wire.Standing_STANDING_LEAVING })
			w.watch(4 * time.Second)
			is.True(w.keeping() != nil)
			is.True(w.keeping() != h)
		}},
		{"a keeper is paused past its lease", func(w *world, is *is.I) {
			h := w.keeping()
			w.set(func() { h.paused = true })
			w.watch(30 * time.Second)
			w.set(func() { w.points["f-1"].restart() })
			w.watch(30 * time.Second)
			w.set(func() { h.paused = false })
			w.watch(10 * time.Second)
			is.True(w.keeping() != h)
			is.Equal(w.value().Keeper, w.keeping().id)
		}},
		{"keeper and gate die at once", func(w *world, is *is.I) {
			h := w.keeping()
			w.set(func() { h.paused = true; w.lose(h, true) })
			w.watch(6 * time.Second)
			for _, r := range w.value().Replicas {
				is.True(r.Gate != h.id)
			}
			is.Equal(w.serving("g"), 2)
		}},
		{"nothing is moved while the store is down", func(w *world, is *is.I) {
			w.store.Down(true)
			w.set(func() { w.points["f-1"].down = true })
			fence := w.value().Fence
			w.watch(time.Minute)
			is.Equal(w.value().Fence, fence)
			w.store.Down(false)
			w.watch(30 * time.Second)
			is.Equal(w.serving("g"), 2)
		}},
		{"the answer to a write is lost, and its decisions stand in the trail once", func(w *world, is *is.I) {
			w.store.LoseAnswers(1)
			w.set(func() { w.points["f-1"].down = true })
			w.watch(30 * time.Second)
			ids := map[string]bool{}
			mended := 0
			for _, entry := range w.trail {
				is.True(!ids[entry.ID])
				ids[entry.ID] = true
				if entry.Action == "mend" {
					mended++
				}
			}
			is.Equal(mended, 1)
		}},
		{"a write is lost on its way", func(w *world, is *is.I) {
			w.set(func() { w.drop = 2 })
			w.set(func() { w.points["f-1"].down = true })
			w.watch(30 * time.Second)
			is.Equal(w.drop, 0)
		}},
		{"old orders arrive late at endpoints, also at those that don't check", func(w *world, _ *is.I) {
			h := w.keeping()
			w.set(func() { h.delay = 7 * time.Second; w.lose(w.hosts[0], true) })
			w.watch(3 * time.Second)
			w.set(func() { w.lose(w.hosts[0], false) })
			w.set(func() { w.points["f-2"].restart() })
			w.watch(3 * time.Second)
			w.set(func() { h.delay = 0 })
			w.watch(30 * time.Second)
		}},
		{"an order of another replica reaches a member that doesn't check", func(w *world, is *is.I) {
			w.set(func() { w.points["f-2"].obey(engine.Order{Fence: 1, Replica: "old", Model: "m", Version: "1"}, w.load) })
			w.watch(time.Second)
			is.Equal(w.serving("g"), 1)
		}},
		{"a keeper that is cut off from all instances makes way", func(w *world, is *is.I) {
			h := w.keeping()
			w.set(func() {
				for id := range w.points {
					h.cut[id] = true
				}
			})
			w.watch(30 * time.Second)
			is.True(w.keeping() != h)
			for _, r := range w.value().Replicas {
				is.Equal(r.State, chart.Serving)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld()
				defer w.stop()
				w.addFabric("f", "d", 10)
				w.document.Groups["g"] = group(2, 4)
				w.configure()
				for _, id := range []string{"a", "b", "c"} {
					w.start(context.Background(), id, "d")
				}
				w.watch(time.Minute)
				is.Equal(w.serving("g"), 2)
				c.fault(w, is)
				w.watch(30 * time.Second)
				is.Equal(w.faults, nil)
				is.Equal(w.serving("g"), 2)
			})
		})
	}
}

func TestStatusExplainsAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		defer w.stop()
		w.addFabric("f", "d", 5)
		w.document.Groups["g"] = group(1, 4)
		w.configure()
		w.start(context.Background(), "a", "d")
		w.watch(time.Minute)
		w.set(func() { w.points["f-2"].down = true })
		w.watch(30 * time.Second)
		outages := w.hosts[0].keeper.Status()[0].Outages
		is.Equal(outages[len(outages)-1], "group g down 7.0 s: member f-2 silent, spare f-5 for f-2, load 4.0 s")
	})
}
