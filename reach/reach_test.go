package reach

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"clementinehead.example/chead/site"
)

// world is what a Reach finds.
type world struct {
	dead   int           // of the endpoints, the first ones don't answer
	hangs  bool          // one that doesn't answer says nothing until the timeout
	late   time.Duration // lateness of the process
	silent int
	all    bool          // silent
	slow   time.Duration // until one that isn't dead answers
	others *Others       // nil if one of them reaches endpoints
}

// rig is a Reach that runs in front of endpoints of which some answer.
type rig struct {
	*Reach
	endpoints int
	world     atomic.Pointer[world]
	probes    atomic.Int64
}

// find sets what the Reach finds from now on.
func (r *rig) find(w world) { r.world.Store(&w) }

func newRig(t *testing.T, endpoints int) *rig {
	t.Helper()
	r := &rig{endpoints: endpoints}
	r.find(world{})
	began := time.Now()
	r.Reach = New(Options{
		Boot: func() time.Duration { return time.Since(began) }, Late: func(time.Duration) time.Duration { return r.world.Load().late },
		Endpoints: func() []site.Endpoint {
			list := make([]site.Endpoint, r.endpoints)
			for i := range list {
				list[i].Slots = i
			}
			return list
		},
		Silence: func() (int, bool) { return r.world.Load().silent, r.world.Load().all },
		Probe: func(ctx context.Context, e site.Endpoint) error {
			r.probes.Add(1)
			found := r.world.Load()
			if e.Slots >= found.dead {
				return answerAfter(ctx, found.slow)
			}
			if found.hangs {
				<-ctx.Done()
			}
			return errors.New("no answer")
		},
		Others: func() Others {
			if others := r.world.Load().others; others != nil {
				return *others
			}
			return Others{Reach: 1}
		},
		Log: logr.Discard(), Registry: prometheus.NewRegistry(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = r.Run(ctx) }()
	return r
}

// answerAfter waits, and returns an error if the context ends before.
func answerAfter(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// run runs a test in a bubble with a rig.
func run(t *testing.T, name string, endpoints int, test func(is *is.I, r *rig)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { test(is.New(t), newRig(t, endpoints)) })
	})
}

// Most endpoints crashed together and refuse connections, but some are reached: whichever of
// them the daemon asks, it doesn't call itself cut off.
func TestEndpointsThatCrashTogetherAreNoCut(t *testing.T) {
	const doubts = 300
	run(t, "8 of 11", 11, func(is *is.I, r *rig) {
		r.find(world{dead: 8})
		for range doubts {
			r.Failed("a")
			r.Failed("b")
			time.Sleep(time.Millisecond)
			is.Equal(r.State(), Sound)
		}
	})
}

// A daemon is cut off once none of the endpoints that it asks answers, by whatever it came
// to doubt that it reaches any.
func TestCutOff(t *testing.T) {
	run(t, "connections are refused", 60, func(is *is.I, r *rig) {
		r.find(world{dead: 60})
		r.Failed("a")
		time.Sleep(time.Second)
		is.Equal(r.State(), Sound) // one endpoint may be dead
		r.Failed("a")
		r.Failed("b")
		time.Sleep(time.Millisecond)
		is.Equal(r.State(), Cut)
	})
	run(t, "everything is silent", 60, func(is *is.I, r *rig) {
		r.find(world{dead: 60, hangs: true, silent: 5, all: true})
		time.Sleep(period + time.Millisecond)
		is.Equal(r.State(), Doubt)
		time.Sleep(ProbeTimeout)
		is.Equal(r.State(), Cut)
	})
	run(t, "the only endpoint", 1, func(is *is.I, r *rig) {
		r.find(world{dead: 1})
		r.Failed("a")
		time.Sleep(time.Millisecond)
		is.Equal(r.State(), Cut)
	})
}

// Dead endpoints, silent ones and a process that runs late are no cut.
func TestNotCutOff(t *testing.T) {
	run(t, "two endpoints are dead", 60, func(is *is.I, r *rig) {
		r.find(world{dead: 2})
		r.Failed("a")
		r.Failed("b")
		time.Sleep(time.Millisecond)
		is.Equal(r.State(), Sound)
		is.Equal(r.probes.Load(), int64(probed))
	})
	run(t, "another one was reached between", 60, func(is *is.I, r *rig) {
		r.find(world{dead: 60})
		for range 20 {
			r.Failed("a")
			r.Reached()
			r.Failed("b")
			r.Reached()
		}
		time.Sleep(time.Second)
		is.Equal(r.State(), Sound)
		is.Equal(r.probes.Load(), int64(0))
	})
	run(t, "some are silent", 60, func(is *is.I, r *rig) {
		r.find(world{silent: 4})
		time.Sleep(time.Second)
		is.Equal(r.probes.Load(), int64(0))
	})
	run(t, "the process runs late", 60, func(is *is.I, r *rig) {
		r.find(world{dead: 60, hangs: true, late: time.Second, silent: 5, all: true})
		time.Sleep(time.Second)
		is.Equal(r.State(), Doubt)
		r.find(world{late: time.Second})
		time.Sleep(2 * ProbeTimeout)
		is.Equal(r.State(), Sound)
	})
	run(t, "there are no endpoints", 0, func(is *is.I, r *rig) {
		r.Failed("a")
		time.Sleep(time.Second)
		is.Equal(r.State(), Sound)
	})
}

// A cut ends once endpoints answer twice in a row; one that comes and goes lasts.
func TestCutEnds(t *testing.T) {
	run(t, "for good", 60, func(is *is.I, r *rig) {
		r.find(world{dead: 60})
		r.Failed("a")
		r.Failed("b")
		time.Sleep(5 * time.Second)
		is.Equal(r.State(), Cut)
		is.True(r.probes.Load() <= probed*12) // a round each half second
		r.find(world{})
		time.Sleep(2*pause + 3*period)
		is.Equal(r.State(), Sound)
	})
	run(t, "comes and goes", 60, func(is *is.I, r *rig) {
		r.find(world{dead: 60})
		r.Failed("a")
		r.Failed("b")
		for range 10 {
			r.find(world{dead: 60})
			time.Sleep(pause + period)
			r.find(world{})
			time.Sleep(pause - time.Millisecond) // less than between the two rounds that end a cut
			is.Equal(r.State(), Cut)
		}
	})
}

// Whoever wants to know whether endpoints are reached waits for those that are asked, unless
// one was reached lately.
func TestConfirm(t *testing.T) {
	run(t, "reached lately", 60, func(is *is.I, r *rig) {
		since := r.options.Boot()
		time.Sleep(time.Second)
		r.Reached()
		is.True(r.Confirm(context.Background(), since))
		is.Equal(r.probes.Load(), int64(0))
	})
	run(t, "endpoints answer", 60, func(is *is.I, r *rig) {
		time.Sleep(time.Second)
		is.True(r.Confirm(context.Background(), r.options.Boot()))
		is.Equal(r.probes.Load(), int64(probed))
	})
	run(t, "none answers", 60, func(is *is.I, r *rig) {
		r.find(world{dead: 60, hangs: true})
		time.Sleep(time.Second)
		began := time.Now()
		is.True(!r.Confirm(context.Background(), r.options.Boot()))
		is.Equal(time.Since(began), ProbeTimeout)
	})
}
