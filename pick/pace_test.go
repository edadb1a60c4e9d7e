package pick

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/site"
)

var engineRequest = Request{Service: "s", Model: "m", Remaining: time.Second, MaxWait: 100 * time.Millisecond}

// An endpoint is stalled once it is silent for clearly longer than it usually is. At
// the usual pace of a group that takes about half a second; slow but steady endpoints
// were taken for stalled, skipped and reported (issue 23).
func TestStallDependsOnUsualPace(t *testing.T) {
	for _, c := range []struct {
		name             string
		gap              time.Duration
		sound, exhausted time.Duration // silences during which it isn't stalled, and after which it is
	}{
		{"usual", 40 * time.Millisecond, 400 * time.Millisecond, 500 * time.Millisecond},
		{"slow", 600 * time.Millisecond, time.Second, 2 * time.Second},
		{"very slow", 1400 * time.Millisecond, 2 * time.Second, 5 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newFixture("a")
				slot, err := p.Acquire(t.Context(), engineRequest)
				is.NoErr(err)
				slot.Progress(true)
				for range 20 {
					time.Sleep(c.gap)
					slot.Progress(true)
				}
				time.Sleep(c.sound)
				is.True(!slot.Stalled())
				is.True(!p.Report().Endpoints["a"].Stalled)
				other, err := p.Acquire(t.Context(), engineRequest)
				is.NoErr(err) // it is not skipped
				other.Done(false)
				time.Sleep(c.exhausted)
				is.True(slot.Stalled())
				is.True(p.Report().Endpoints["a"].Stalled)
			})
		})
	}
}

// The first silence that turns out to be sound is learned from at once, and forgotten
// after some events at the usual pace.
func TestPaceFollowsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFixture("a")
		slot, err := p.Acquire(t.Context(), engineRequest)
		is.NoErr(err)
		events := func(n int, gap time.Duration) {
			for range n {
				time.Sleep(gap)
				slot.Progress(true)
			}
		}
		events(20, 40*time.Millisecond)
		events(1, 600*time.Millisecond)
		time.Sleep(600 * time.Millisecond)
		is.True(!slot.Stalled())
		events(30, 40*time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		is.True(slot.Stalled())
	})
}

// A stream that isn't read because its caller is slow says nothing of its endpoint, neither
// while it waits nor by the interval to its next event; another one there does. The endpoint
// was avoided, so that slow callers took it from others.
func TestUnreadStreamIsNoStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFixture("a")
		slow, err := p.Acquire(t.Context(), engineRequest)
		is.NoErr(err)
		slow.Progress(true)
		slow.Hold(true)
		time.Sleep(time.Minute)
		is.True(!slow.Stalled())
		other, err := p.Acquire(t.Context(), engineRequest)
		is.NoErr(err)
		time.Sleep(2 * time.Second)
		is.True(other.Stalled())
		other.Done(false)
		slow.Hold(false)
		usual := slow.UsualSilence()
		time.Sleep(10 * time.Millisecond)
		slow.Progress(true)
		is.Equal(slow.UsualSilence(), usual)
		time.Sleep(2 * time.Second)
		is.True(slow.Stalled())
		slow.Hold(true)
		slow.Left()
		next, err := p.Acquire(t.Context(), engineRequest)
		is.NoErr(err)
		time.Sleep(2 * time.Second)
		is.True(next.Stalled()) // the slow one counts no more
	})
}

// A prompt that takes 2 s to read keeps an endpoint silent for that time.
func TestReadingIsNoStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFixture("a")
		p.options.Snapshot().Config.Services["s"].Engine.ReadRate = 1000
		request := engineRequest
		request.PromptTokens = 2000
		slot, err := p.Acquire(t.Context(), request)
		is.NoErr(err)
		time.Sleep(2 * time.Second)
		is.True(!slot.Stalled())
		is.True(slot.Patience() > 2*time.Second)
		time.Sleep(firstEventTimeout + time.Millisecond)
		is.True(slot.Stalled())
	})
}

// What this daemon sees of an endpoint that sends it events counts for more than
// another daemon's report.
func TestProgressOutweighsReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFixture("a")
		slot, err := p.Acquire(t.Context(), engineRequest)
		is.NoErr(err)
		slot.Progress(true)
		time.Sleep(100 * time.Millisecond)
		p.Update([]gossip.Message{{Endpoints: map[string]gossip.EndpointLoad{"a": {Running: 1, Stalled: true}}}}, nil)
		is.True(!slot.Stalled())
		slot.Progress(true)
		slot.Done(false)
		p.Update([]gossip.Message{{Endpoints: map[string]gossip.EndpointLoad{"a": {Running: 1, Stalled: true}}}}, nil)
		_, err = p.Acquire(t.Context(), engineRequest)
		is.True(err != nil) // without own streams the report counts
	})
}

// An endpoint whose sends are always left before their first event is judged by the
// other endpoints of its model: it was left for ever.
func TestPaceOfOtherEndpointsCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFixture("a", "b")
		request := engineRequest
		request.Avoid = map[string]bool{"b": true}
		known, err := p.Acquire(t.Context(), request)
		is.NoErr(err)
		time.Sleep(1400 * time.Millisecond)
		known.Progress(true)
		request.Avoid = map[string]bool{"a": true}
		other, err := p.Acquire(t.Context(), request)
		is.NoErr(err)
		time.Sleep(1400 * time.Millisecond)
		is.True(!other.Stalled())
	})
}

// An endpoint that serves another model than before is judged by that model's pace: a
// dead one was waited for as long as its earlier model's usual silence.
func TestPaceIsOfOneModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFixture("a")
		v := p.options.Snapshot()
		v.Config.Services["s"].Engine.Models = append(v.Config.Services["s"].Engine.Models, site.Model{Name: "n", Size: 1, Pace: 1})
		e := v.Endpoints["a"]
		e.State.Models = []string{"m", "n"}
		v.Endpoints["a"] = e
		slow, err := p.Acquire(t.Context(), engineRequest)
		is.NoErr(err)
		time.Sleep(3 * time.Second)
		slow.Progress(true)
		slow.Done(false)
		other := engineRequest
		other.Model = "n"
		slot, err := p.Acquire(t.Context(), other)
		is.NoErr(err)
		time.Sleep(firstEventTimeout + time.Millisecond)
		is.True(slot.Stalled())
	})
}

// A stream whose intervals aren't known yet is given as long as its first event may take:
// after a daemon's start sound streams were left after a second.
func TestPatienceBeforeTheFirstInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFixture("a")
		slot, err := p.Acquire(t.Context(), engineRequest)
		is.NoErr(err)
		time.Sleep(1400 * time.Millisecond)
		slot.Progress(true)
		time.Sleep(1400 * time.Millisecond)
		is.True(slot.Patience() > 1400*time.Millisecond)
		is.True(!slot.Stalled())
	})
}
