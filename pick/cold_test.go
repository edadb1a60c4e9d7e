package pick

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/site"
	"clementinehead.example/chead/watch"
)

// coldFixture returns one Placer for each of n daemons that hear no other daemon,
// with one endpoint that is cold for 3 s from boot on. Each daemon draws another
// part of the first interval.
func coldFixture(n int, rate float64, boot *time.Duration) []*Placer {
	snapshot := &watch.Snapshot{
		Config:    &site.Config{Services: map[string]site.Service{"plain": {Name: "plain", ColdRate: rate}}},
		Endpoints: map[string]site.Endpoint{"cold": {ID: "cold", Service: "plain", Slots: 1000, Seen: *boot, Cold: 3 * time.Second}},
	}
	placers := make([]*Placer, n)
	for i := range placers {
		placers[i] = New(Options{
			Boot: func() time.Duration { return *boot }, Snapshot: func() *watch.Snapshot { return snapshot },
			Alive: func() []gossip.Message { return nil }, Delay: func() time.Duration { return 0 }, Daemons: func() int { return n }, Listed: func() int { return n }, Reached: func() bool { return true }, CutOff: func() bool { return false }, Late: func(time.Duration) time.Duration { return 0 }, Budget: func() Budget { return Budget{} }, Log: logr.Discard(), Random: func() float64 { return float64(i) / float64(n) },
		})
	}
	return placers
}

// When an endpoint returns cold, all daemons see it at the same time. Together they
// must not send it more requests per second than its service allows, even if they
// don't hear each other and if there are more daemons than allowed requests. Once
// the endpoint is warm there is no limit.
func TestColdEndpointRateIsLimited(t *testing.T) {
	for _, c := range []struct {
		daemons int
		rate    float64
	}{{1, 20}, {17, 36}, {63, 14}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			boot := time.Hour
			placers := coldFixture(c.daemons, c.rate, &boot)
			second := func() (sent int) {
				for range 20 {
					for _, p := range placers {
						slot, err := p.Acquire(t.Context(), Request{Service: "plain", Remaining: time.Second})
						if err == nil {
							sent++
							slot.Done(false)
						}
					}
					time.Sleep(50 * time.Millisecond)
				}
				return sent
			}
			for range 2 {
				sent := float64(second())
				is.True(sent <= c.rate+1)
				is.True(sent >= c.rate/2) // but it does get requests
			}
			boot += 3 * time.Second
			is.Equal(second(), 20*c.daemons)
		})
	}
}

// An endpoint that can't be reached is reported to the other daemons, including the
// keeper.
func TestUnreachableEndpointIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFixture("a")
		slot, err := p.Acquire(t.Context(), Request{Service: "s", Model: "m", Remaining: time.Second, MaxWait: time.Millisecond})
		is.NoErr(err)
		slot.Suspect()
		slot.Done(true)
		reported := p.Report().Endpoints
		is.Equal(reported, map[string]gossip.EndpointLoad{"a": {Stalled: true}})
		time.Sleep(suspectPause + time.Millisecond)
		reported = p.Report().Endpoints
		is.Equal(len(reported), 0) // it is tried again
	})
}
