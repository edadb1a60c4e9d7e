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

// quiet hides the deadline of a test, which can't be asked for in a bubble.
type quiet struct{ rapid.TB }

// disturb draws one fault, or the end of one.
func (w *world) disturb(t *rapid.T) {
	h := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")]
	p := w.points[rapid.SampledFrom([]string{"f-1", "f-2", "f-3", "f-4", "f-5", "f-6", "f-7", "f-8"}).Draw(t, "instance")]
	on := rapid.Bool().Draw(t, "on")
	seconds := time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second
	fault := rapid.SampledFrom([]string{
		"kill", "restart", "cut", "pause", "delay", "store", "lose", "drop", "freeze", "steal", "rival", "drain", "version", "replicas", "gate",
	}).Draw(t, "fault")
	switch fault {
	case "steal":
		w.steal()
		return
	case "rival":
		w.rival()
		return
	case "store":
		w.store.Down(on)
		return
	case "lose":
		w.store.LoseAnswers(int(seconds / time.Second / 4))
		return
	case "freeze":
		v := h.view()
		w.set(func() { h.frozen = v })
		if !on {
			w.set(func() { h.frozen = nil })
		}
		return
	}
	w.set(func() {
		switch fault {
		case "kill":
			p.down = true
		case "restart":
			p.restart()
		case "cut":
			h.cut[p.ID] = on
		case "pause":
			h.paused = on
		case "delay":
			h.delay = 0
			if on {
				h.delay = seconds
			}
		case "drop":
			w.drop = int(seconds / time.Second / 4)
		case "gate":
			w.lose(h, on)
		case "drain":
			w.document.Instances[p.ID] = conf.Instance{Out: on}
		case "version":
			g := w.document.Groups["g"]
			g.Version = map[bool]string{true: "1", false: "2"}[on]
			w.document.Groups["g"] = g
		case "replicas":
			g := w.document.Groups["g"]
			g.Replicas = map[bool]int{true: 1, false: 2}[on]
			w.document.Groups["g"] = g
		}
	})
	w.configure()
}

// lose makes all daemons believe that one is dead, or that it is back.
func (w *world) lose(h *host, dead bool) {
	w.roster = nil
	w.standings[h.id] = wire.Standing_STANDING_ALIVE
	if dead {
		w.standings[h.id] = wire.Standing_STANDING_DEAD
	}
}

// steal deletes the keeper's key, so that another daemon becomes keeper while
// the first one still holds its lease.
func (w *world) steal() {
	ctx := context.Background()
	direct := (&host{w: w}).keeperStore()
	if entry, err := direct.Get(ctx, prefix+"f"); err == nil {
		_ = direct.Delete(ctx, entry.Key, entry.Revision)
	}
}

// calm ends all faults.
func (w *world) calm() {
	w.store.Down(false)
	w.store.LoseAnswers(0)
	w.set(func() {
		w.drop = 0
		for _, h := range w.hosts {
			h.paused, h.delay, h.frozen = false, 0, nil
			clear(h.cut)
			w.lose(h, false)
		}
		for _, p := range w.points {
			if p.down {
				p.restart()
			}
		}
		clear(w.document.Instances)
	})
	w.configure()
}

// rival lets a second keeper begin, while the first one hears of nothing.
func (w *world) rival() {
	for _, h := range w.hosts {
		if len(h.keeper.current()) > 0 {
			v := h.view()
			w.set(func() { h.frozen = v })
		}
	}
	w.steal()
}

// watch lets time pass and checks the rules all along.
func (w *world) watch(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		w.check()
	}
}

func TestRulesHoldUnderRandomFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(quiet{t}, func(t *rapid.T) {
			w := newWorld()
			defer w.stop()
			w.addFabric("f", "d", 8)
			w.document.Groups["g"] = group(2, 2)
			w.document.Groups["h"] = group(1, 3)
			w.configure()
			for _, id := range []string{"a", "b", "c"} {
				w.start(context.Background(), id, "d")
			}
			time.Sleep(20 * time.Second)
			for range rapid.IntRange(1, 30).Draw(t, "faults") {
				w.disturb(t)
				w.watch(time.Duration(rapid.IntRange(0, 25).Draw(t, "pause")) * 200 * time.Millisecond)
				if len(w.faults) > 0 {
					t.Fatal(w.faults[0])
				}
			}
			w.calm()
			w.watch(20 * time.Second)
			time.Sleep(100 * time.Second)
			w.watch(time.Second)
			if len(w.faults) > 0 {
				t.Fatal(w.faults[0])
			}
			for _, name := range []string{"g", "h"} {
				if got, want := w.serving(name), w.document.Groups[name].Replicas; got != want {
					t.Fatalf("group %s: %d replicas serve after the faults, %d wanted", name, got, want)
				}
			}
		})
	})
}
