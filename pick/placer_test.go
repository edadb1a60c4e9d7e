package pick

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/site"
	"clementinehead.example/chead/watch"
)

// newFixture returns a Placer with the given endpoints, each of which has one slot and
// serves model m.
func newFixture(ids ...string) *Placer {
	snapshot := &watch.Snapshot{Config: &site.Config{Services: map[string]site.Service{
		"s": {Name: "s", Engine: &site.Engine{Slots: 1, Models: []site.Model{{Name: "m", Size: 1, Pace: 1}}}},
	}}, Endpoints: map[string]site.Endpoint{}}
	for _, id := range ids {
		snapshot.Endpoints[id] = site.Endpoint{ID: id, Service: "s", State: site.State{
			Models: []string{"m"}, Member: site.Member{Group: id, Epoch: 1, Phase: site.Open},
		}}
	}
	return New(Options{
		Boot: func() time.Duration { return time.Hour }, Snapshot: func() *watch.Snapshot { return snapshot },
		Alive: func() []gossip.Message { return nil }, Delay: func() time.Duration { return 0 }, Daemons: func() int { return 1 }, Listed: func() int { return 1 }, Reached: func() bool { return true }, CutOff: func() bool { return false }, Late: func(time.Duration) time.Duration { return 0 }, Budget: func() Budget { return Budget{} }, Log: logr.Discard(), Random: func() float64 { return 0.5 },
	})
}

// The only group of a model runs one request at a time; three requests arrive per
// second and each takes a second. The endpoint holds at most two of them, one in its
// slot and one beyond it (overcommit), so a keeper that used the number in progress
// as the demand reassigned the model's endpoints.
func TestDemandIncludesRefusedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFixture("a")
		for range 30 {
			go func() {
				slot, err := p.Acquire(t.Context(), Request{Service: "s", Model: "m", Remaining: 100 * time.Millisecond, MaxWait: 100 * time.Millisecond})
				if err != nil {
					return
				}
				time.Sleep(time.Second)
				slot.Done(false)
			}()
			time.Sleep(time.Second / 3)
		}
		synctest.Wait()
		demand := p.Report().Demand
		is.True(demand["s/m"] >= 2) // of three slots needed
		time.Sleep(5 * time.Second)
	})
}

// A request waits for a slot and gets it; it is refused if no slot becomes free within
// its longest wait, if no endpoint serves its model, or if its caller has disconnected.
func TestAcquire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFixture("a")
		request := Request{Service: "s", Model: "m", Remaining: time.Second, MaxWait: 500 * time.Millisecond}
		first, err := p.Acquire(t.Context(), request)
		is.NoErr(err)
		second, err := p.Acquire(t.Context(), request) // one request beyond the slots may wait at the endpoint
		is.NoErr(err)
		go func() {
			time.Sleep(100 * time.Millisecond)
			first.Done(false)
		}()
		third, err := p.Acquire(t.Context(), request)
		is.NoErr(err) // it waited for the slot of the first
		_, err = p.Acquire(t.Context(), request)
		refused, ok := err.(*Error)
		is.True(ok)
		is.True(refused.RetryAfter > 0)
		second.Done(false)
		third.Done(false)
		_, err = p.Acquire(t.Context(), Request{Service: "s", Model: "other", MaxWait: 100 * time.Millisecond})
		refused, ok = err.(*Error)
		is.True(ok)
		is.Equal(refused.Kind, NoEndpoint)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = p.Acquire(ctx, Request{Service: "s", Model: "other", MaxWait: time.Second})
		refused, ok = err.(*Error)
		is.True(ok)
		is.Equal(refused.Kind, Disconnected)
	})
}

// An endpoint that makes no progress with its requests is skipped, whether this
// daemon observed it or another one reported it.
func TestStalledEndpointIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFixture("a", "b")
		request := Request{Service: "s", Model: "m", Remaining: time.Second, MaxWait: 100 * time.Millisecond}
		stalled, err := p.Acquire(t.Context(), request)
		is.NoErr(err)
		stalled.Progress(true)
		time.Sleep(stallTimeout + time.Millisecond)
		is.True(stalled.Stalled())
		for range 2 {
			other, err := p.Acquire(t.Context(), request)
			is.NoErr(err)
			is.True(other.Endpoint.ID != stalled.Endpoint.ID)
			other.Done(false)
		}
		informed := newFixture("a", "b")
		informed.Update([]gossip.Message{{Endpoints: map[string]gossip.EndpointLoad{"a": {Running: 1, Stalled: true}}}}, nil)
		other, err := informed.Acquire(t.Context(), request)
		is.NoErr(err)
		is.Equal(other.Endpoint.ID, "b")
	})
}

// A slow answer of a plain service doesn't mean that its endpoint is stalled. When
// it was taken for that, three slow answers were enough for requests to be refused
// although slots were free.
func TestSlowPlainAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFixture()
		p.options.Snapshot().Config.Services["plain"] = site.Service{Name: "plain"}
		p.options.Snapshot().Endpoints["p"] = site.Endpoint{ID: "p", Service: "plain", Slots: 6}
		request := Request{Service: "plain", Remaining: time.Second, MaxWait: 100 * time.Millisecond}
		slow, err := p.Acquire(t.Context(), request)
		is.NoErr(err)
		time.Sleep(2 * firstEventTimeout)
		_, err = p.Acquire(t.Context(), request)
		is.NoErr(err)
		slow.Suspect() // could not be reached
		_, err = p.Acquire(t.Context(), request)
		is.True(err != nil)
	})
}
