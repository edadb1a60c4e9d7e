package reach

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// An answer that came while endpoints were asked must not be passed over, though further
// connections failed after it (issue 32: cut off with one reached 105 ms before).
func TestAnswerDuringARoundIsPassedOver(t *testing.T) {
	run(t, "reached, then failures", 60, func(is *is.I, r *rig) {
		r.find(world{dead: 60, hangs: true})
		r.Failed("a")
		r.Failed("b")
		time.Sleep(ProbeTimeout - 100*time.Millisecond)
		r.Reached()
		r.Failed("a")
		r.Failed("b")
		time.Sleep(101 * time.Millisecond)
		is.True(r.State() != Cut)
	})
}

// hear records bytes over an open connection each 50 ms until a function of the result is
// called.
func (r *rig) hear() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for answerAfter(ctx, 50*time.Millisecond) == nil {
			r.Heard()
		}
	}()
	return cancel
}

// Endpoints that are slow to accept connections, while open ones deliver, are no cut. What
// they miss meanwhile doesn't count against them, and once they are quick again that is
// known.
func TestSlowEndpointsAreTakenForACut(t *testing.T) {
	run(t, "open connections deliver", 60, func(is *is.I, r *rig) {
		defer r.hear()()
		r.find(world{dead: 60, hangs: true, silent: 5, all: true})
		time.Sleep(10 * time.Second)
		is.Equal(r.State(), Slow)
		is.Equal(r.Evidence(), Open)
		is.True(!r.Blind())
		is.True(r.probes.Load() <= probed*12)                       // slow endpoints aren't asked without end
		is.True(!r.Confirm(context.Background(), r.options.Boot())) // it says nothing of single endpoints
		r.find(world{})
		time.Sleep(pause + ProbeTimeout + 2*period)
		is.Equal(r.State(), Sound)
		is.Equal(r.Evidence(), None)
	})
	run(t, "then they fall silent, too", 60, func(is *is.I, r *rig) {
		stop := r.hear()
		r.find(world{dead: 60, hangs: true, silent: 5, all: true})
		time.Sleep(2 * time.Second)
		is.Equal(r.State(), Slow)
		stop()
		time.Sleep(2 * (pause + ProbeTimeout + period))
		is.Equal(r.State(), Cut)
	})
	run(t, "new connections are refused", 60, func(is *is.I, r *rig) {
		defer r.hear()()
		r.find(world{dead: 60})
		r.Failed("a")
		r.Failed("b")
		time.Sleep(time.Millisecond)
		is.Equal(r.State(), Cut) // refusals aren't slow
	})
	run(t, "an answer over a new connection", 60, func(is *is.I, r *rig) {
		stop := r.hear()
		r.find(world{dead: 60, hangs: true, silent: 5, all: true})
		time.Sleep(time.Second)
		stop()
		r.Reached()
		is.Equal(r.State(), Sound)
	})
}

// While no other daemon reaches endpoints, none gives up: there would be nobody who serves.
// While most others don't, it takes a longer silence.
func TestLastDaemonGivesUp(t *testing.T) {
	hung := func(others Others) world {
		return world{dead: 60, hangs: true, silent: 5, all: true, others: &others}
	}
	run(t, "the last one", 60, func(is *is.I, r *rig) {
		r.find(hung(Others{Reach: 0, Cut: 2}))
		time.Sleep(10 * time.Second)
		is.Equal(r.State(), Slow)
		is.Equal(r.Evidence(), Alone)
		is.True(r.Blind())
		r.find(hung(Others{Reach: 1, Cut: 1})) // there is one that serves
		time.Sleep(pause + ProbeTimeout + 2*period)
		is.Equal(r.State(), Cut)
	})
	run(t, "the last one is refused", 60, func(is *is.I, r *rig) {
		r.find(world{dead: 60, others: &Others{}})
		r.Failed("a")
		r.Failed("b")
		time.Sleep(time.Millisecond)
		is.Equal(r.State(), Slow)
	})
	run(t, "cut off, then the others as well", 60, func(is *is.I, r *rig) {
		r.find(hung(Others{Reach: 2}))
		time.Sleep(time.Second)
		is.Equal(r.State(), Cut)
		r.find(hung(Others{Cut: 2})) // for a moment
		time.Sleep(aloneTime / 2)
		r.find(hung(Others{Reach: 2}))
		time.Sleep(5 * time.Second)
		is.Equal(r.State(), Cut)
		r.find(hung(Others{Cut: 2}))
		time.Sleep(2*slowTimeout + pause + 2*period)
		is.Equal(r.State(), Slow)
	})
	run(t, "most others are cut off", 60, func(is *is.I, r *rig) {
		time.Sleep(time.Second)
		r.Heard()
		r.find(hung(Others{Reach: 1, Cut: 3}))
		time.Sleep(muteLimit - 100*time.Millisecond)
		is.Equal(r.State(), Slow)
		is.Equal(r.Evidence(), Many)
		time.Sleep(2 * (pause + ProbeTimeout))
		is.Equal(r.State(), Cut)
	})
}

// Endpoints that answer slowly, but answer, end a cut, and aren't taken for one again.
func TestSlowAnswersEndACut(t *testing.T) {
	run(t, "answers after the first timeout", 60, func(is *is.I, r *rig) {
		r.find(world{dead: 60, hangs: true, silent: 5, all: true})
		time.Sleep(time.Second)
		is.Equal(r.State(), Cut)
		r.find(world{slow: 700 * time.Millisecond, silent: 5, all: true})
		time.Sleep(6 * time.Second)
		for range 50 {
			is.True(r.State() != Cut)
			time.Sleep(period)
		}
	})
}

// Endpoints that crashed together refuse connections while others serve. Three of them asked
// at the same time were taken for a cut.
func TestCrashedEndpointsAreNoCut(t *testing.T) {
	for range 60 {
		run(t, "half of six", 6, func(is *is.I, r *rig) {
			r.find(world{dead: 3})
			r.Failed("a")
			r.Failed("b")
			time.Sleep(time.Second)
			is.Equal(r.State(), Sound)
		})
	}
}

// All that were asked first refuse, and those asked after them say nothing in time: that is a
// cut, whatever open connections deliver.
func TestRefusalsAreACutThoughOthersAreSlow(t *testing.T) {
	run(t, "three of six", 60, func(is *is.I, r *rig) {
		r.find(world{dead: 60, hangs: true})
		r.mu.Lock()
		r.doubt()
		r.mu.Unlock()
		began := r.options.Boot()
		time.Sleep(time.Millisecond)
		r.Heard()
		r.judge(round{asked: 2 * probed, refused: probed, began: began})
		is.Equal(r.State(), Cut)
	})
}
