package pick

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/site"
	"clementinehead.example/chead/watch"
)

// Another daemon passes on that an endpoint leaves. It gets no request in the life
// that the notice is of, and is used again once it has started anew, also if its entry
// was missing meanwhile.
func TestNoticeToLeaveOfAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFixture("a")
		first := p.options.Snapshot()
		entry := first.Endpoints["a"]
		publish := func(endpoints ...site.Endpoint) {
			next := &watch.Snapshot{Config: first.Config, Endpoints: map[string]site.Endpoint{}}
			for _, e := range endpoints {
				next.Endpoints[e.ID] = e
			}
			p.options.Snapshot = func() *watch.Snapshot { return next }
		}
		entry.State.Started = 5
		publish(entry)
		request := Request{Service: "s", Model: "m", MaxWait: 10 * time.Millisecond}
		placed := func() bool {
			slot, err := p.Acquire(t.Context(), request)
			if err == nil {
				slot.Done(false)
			}
			return err == nil
		}
		is.True(placed())
		p.Update([]gossip.Message{{From: site.Daemon{ID: "d2"}, Endpoints: map[string]gossip.EndpointLoad{"a": {Leaving: 5}}}}, nil)
		is.True(!placed())
		is.Equal(p.Report().Endpoints["a"].Leaving, int64(5)) // passed on
		publish()
		p.Update(nil, nil)
		publish(entry) // an older copy of the store
		is.True(!placed())
		entry.State.Started = 6
		publish(entry)
		is.True(placed())
		time.Sleep(leavingMemory)
		p.Update(nil, nil)
		is.Equal(len(p.leaving), 0)
	})
}

// While all endpoints are paused for longer than a request may wait, it is refused at
// once with the time until the first one takes requests again; for a shorter pause it
// waits.
func TestAdmitDuringPause(t *testing.T) {
	is := is.New(t)
	q := QueueState{FreeRate: 100, Slack: time.Second, MaxWait: time.Second, Paused: 3 * time.Second}
	is.Equal(Admit(q), Decision{RetryAfter: 3 * time.Second})
	q.Paused = 400 * time.Millisecond
	is.Equal(Admit(q), Decision{Wait: true})
	q.Paused = 3 * time.Second
	q.Resumed = true
	is.Equal(Admit(q), Decision{Wait: true})
}

// A pause holds though the endpoint's entry is missing for a moment, as during an outage
// of the store.
func TestPauseOutlastsALapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFixture("a")
		listed := p.options.Snapshot()
		request := Request{Service: "s", Model: "m", MaxWait: 10 * time.Millisecond}
		slot, err := p.Acquire(t.Context(), request)
		is.NoErr(err)
		slot.Pause(2 * time.Second)
		slot.Done(true)
		p.options.Snapshot = func() *watch.Snapshot { return &watch.Snapshot{Config: listed.Config} }
		p.Update(nil, nil)
		p.options.Snapshot = func() *watch.Snapshot { return listed }
		_, err = p.Acquire(t.Context(), request)
		is.True(err != nil)
		time.Sleep(2 * time.Second)
		_, err = p.Acquire(t.Context(), request)
		is.NoErr(err)
	})
}
