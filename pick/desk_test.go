package pick

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/sight"
	"clementinehead.example/chead/site"
)

// labDesk returns a desk before endpoints of one slot that all serve model m.
func labDesk(ids ...string) *Desk {
	view := &sight.View{Config: &site.Config{Services: map[string]site.Service{
		"s": {Name: "s", Engine: &site.Engine{Slots: 1, Models: []site.Model{{Name: "m", Size: 1, Pace: 1}}}},
	}}, Endpoints: map[string]site.Endpoint{}}
	for _, id := range ids {
		view.Endpoints[id] = site.Endpoint{ID: id, Service: "s", State: site.State{
			Models: []string{"m"}, Member: site.Member{Group: id, Epoch: 1, Phase: site.Open},
		}}
	}
	return New(Options{
		Boot: func() time.Duration { return time.Hour }, View: func() *sight.View { return view },
		Alive: func() []gossip.Message { return nil }, Shares: func() int { return 1 }, Budget: func() Budget { return Budget{} }, Log: logr.Discard(), Draw: func() float64 { return 0.5 },
	})
}

// The only group of a model takes one request at a time; three a second come
// and each takes a second. What is in progress never shows more than its
// places, so a keeper that went by it gave the model's endpoints away.
func TestDemandCountsWhatIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := labDesk("a")
		for range 30 {
			go func() {
				place, err := d.Acquire(t.Context(), Ask{Service: "s", Model: "m", Aim: 100 * time.Millisecond, Limit: 100 * time.Millisecond})
				if err != nil {
					return
				}
				time.Sleep(time.Second)
				place.Done(false)
			}()
			time.Sleep(time.Second / 3)
		}
		synctest.Wait()
		demand := d.Report().Demand
		is.True(demand["s/m"] >= 2) // of three places that are wanted
		time.Sleep(5 * time.Second)
	})
}

func TestAcquire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := labDesk("a")
		ask := Ask{Service: "s", Model: "m", Aim: time.Second, Limit: 500 * time.Millisecond}
		first, err := d.Acquire(t.Context(), ask)
		is.NoErr(err)
		second, err := d.Acquire(t.Context(), ask) // one beyond the slots may wait at the endpoint
		is.NoErr(err)
		go func() {
			time.Sleep(100 * time.Millisecond)
			first.Done(false)
		}()
		third, err := d.Acquire(t.Context(), ask)
		is.NoErr(err) // it waited for the first one's place
		_, err = d.Acquire(t.Context(), ask)
		refused, ok := err.(*Error)
		is.True(ok)
		is.True(refused.After > 0)
		second.Done(false)
		third.Done(false)
		_, err = d.Acquire(t.Context(), Ask{Service: "s", Model: "other", Limit: 100 * time.Millisecond})
		refused, ok = err.(*Error)
		is.True(ok)
		is.Equal(refused.Kind, Nowhere)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = d.Acquire(ctx, Ask{Service: "s", Model: "other", Limit: time.Second})
		refused, ok = err.(*Error)
		is.True(ok)
		is.Equal(refused.Kind, Left)
	})
}

// An endpoint with requests in progress that makes no progress is passed over,
// by what this daemon sees and by what others say.
func TestStuckEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := labDesk("a", "b")
		ask := Ask{Service: "s", Model: "m", Aim: time.Second, Limit: 100 * time.Millisecond}
		stuck, err := d.Acquire(t.Context(), ask)
		is.NoErr(err)
		stuck.Progress(true)
		time.Sleep(stuckAfter + time.Millisecond)
		is.True(stuck.Stuck())
		for range 2 {
			other, err := d.Acquire(t.Context(), ask)
			is.NoErr(err)
			is.True(other.Endpoint.ID != stuck.Endpoint.ID)
			other.Done(false)
		}
		told := labDesk("a", "b")
		told.Update([]gossip.Message{{Heads: map[string]gossip.Head{"a": {Running: 1, Stuck: true}}}}, nil)
		other, err := told.Acquire(t.Context(), ask)
		is.NoErr(err)
		is.Equal(other.Endpoint.ID, "b")
	})
}

// A slow answer of a plain service says nothing of its endpoint: with three
// such answers, calls were refused although all places were free.
func TestSlowPlainAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := labDesk()
		d.options.View().Config.Services["plain"] = site.Service{Name: "plain"}
		d.options.View().Endpoints["p"] = site.Endpoint{ID: "p", Service: "plain", Slots: 6}
		ask := Ask{Service: "plain", Aim: time.Second, Limit: 100 * time.Millisecond}
		slow, err := d.Acquire(t.Context(), ask)
		is.NoErr(err)
		time.Sleep(2 * stuckFirst)
		_, err = d.Acquire(t.Context(), ask)
		is.NoErr(err)
		slow.Suspect() // not reached
		_, err = d.Acquire(t.Context(), ask)
		is.True(err != nil)
	})
}
