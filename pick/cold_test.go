package pick

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/sight"
	"clementinehead.example/chead/site"
)

// coldDaemons returns the desks of daemons that hear nobody, before an endpoint
// that is cold for 3 s from boot on. Each draws another part of the first
// interval.
func coldDaemons(n int, rate float64, boot *time.Duration) []*Desk {
	view := &sight.View{
		Config:    &site.Config{Services: map[string]site.Service{"plain": {Name: "plain", ColdRate: rate}}},
		Endpoints: map[string]site.Endpoint{"cold": {ID: "cold", Service: "plain", Slots: 1000, Seen: *boot, Cold: 3 * time.Second}},
	}
	desks := make([]*Desk, n)
	for i := range desks {
		desks[i] = New(Options{
			Boot: func() time.Duration { return *boot }, View: func() *sight.View { return view },
			Alive: func() []gossip.Message { return nil }, Shares: func() int { return n }, Budget: func() Budget { return Budget{} }, Log: logr.Discard(), Draw: func() float64 { return float64(i) / float64(n) },
		})
	}
	return desks
}

// An endpoint comes back cold, and all daemons see it at once. Together they send
// it no more in a second than its service allows, also those that don't hear each
// other, and where there are more daemons than requests. Once it is warm there is
// no bound.
func TestColdEndpointIsSpared(t *testing.T) {
	for _, c := range []struct {
		daemons int
		rate    float64
	}{{1, 20}, {17, 36}, {63, 14}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			boot := time.Hour
			desks := coldDaemons(c.daemons, c.rate, &boot)
			second := func() (sent int) {
				for range 20 {
					for _, d := range desks {
						place, err := d.Acquire(t.Context(), Ask{Service: "plain", Aim: time.Second})
						if err == nil {
							sent++
							place.Done(false)
						}
					}
					time.Sleep(50 * time.Millisecond)
				}
				return sent
			}
			for range 2 {
				sent := float64(second())
				is.True(sent <= c.rate+1)
				is.True(sent >= c.rate/2) // but it gets work
			}
			boot += 3 * time.Second
			is.Equal(second(), 20*c.daemons)
		})
	}
}

// An endpoint that can't be reached is told to the others, the keeper with them.
func TestUnreachedEndpointIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := labDesk("a")
		place, err := d.Acquire(t.Context(), Ask{Service: "s", Model: "m", Aim: time.Second, Limit: time.Millisecond})
		is.NoErr(err)
		place.Suspect()
		place.Done(true)
		heads := d.Report().Heads
		is.Equal(heads, map[string]gossip.Head{"a": {Stuck: true}})
		time.Sleep(stuckPause + time.Millisecond)
		heads = d.Report().Heads
		is.Equal(len(heads), 0) // it is tried again
	})
}
