package pick

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/site"
)

// An endpoint of a plain service is not reported as stalled because of a slow answer.
// The keeper asked it for a report then, which it can't give ("report not taken").
func TestSlowPlainEndpointIsNotReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFixture()
		p.options.Snapshot().Config.Services["plain"] = site.Service{Name: "plain"}
		p.options.Snapshot().Endpoints["p"] = site.Endpoint{ID: "p", Service: "plain", Slots: 6}
		slow, err := p.Acquire(t.Context(), Request{Service: "plain", Remaining: time.Second})
		is.NoErr(err)
		time.Sleep(2 * firstEventTimeout)
		is.True(!p.Report().Endpoints["p"].Stalled)
		slow.Suspect()
		is.True(!p.Report().Endpoints["p"].Stalled)
	})
}

// A caller that leaves is no sign that the endpoint makes progress.
func TestLeavingCallerIsNoProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFixture("a")
		stays, err := p.Acquire(t.Context(), engineRequest)
		is.NoErr(err)
		leaves, err := p.Acquire(t.Context(), engineRequest)
		is.NoErr(err)
		stays.Progress(true)
		time.Sleep(400 * time.Millisecond)
		leaves.Left()
		time.Sleep(100 * time.Millisecond)
		is.True(stays.Stalled())
	})
}

// The keeper ends no group whose requests go on, by what this daemon and the others see.
func TestProgresses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFixture("a")
		told := func(load gossip.EndpointLoad) {
			p.Update([]gossip.Message{{From: site.Daemon{ID: "d2"}, Endpoints: map[string]gossip.EndpointLoad{"a": load}}}, nil)
		}
		is.True(!p.Progresses("unknown"))
		told(gossip.EndpointLoad{})
		is.True(!p.Progresses("a")) // idle
		told(gossip.EndpointLoad{Running: 2})
		is.True(p.Progresses("a"))
		told(gossip.EndpointLoad{})
		slot, err := p.Acquire(t.Context(), Request{Service: "s", Model: "m", Remaining: time.Second, MaxWait: time.Millisecond})
		is.NoErr(err)
		slot.Progress(true)
		told(gossip.EndpointLoad{Running: 2, Stalled: true})
		is.True(p.Progresses("a")) // this daemon's own stream goes on
		time.Sleep(minPatience + stallTimeout)
		is.True(!p.Progresses("a"))
		slot.Done(false)
		told(gossip.EndpointLoad{Running: 2, Stalled: true})
		is.True(!p.Progresses("a"))
	})
}
