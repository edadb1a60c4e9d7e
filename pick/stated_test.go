package pick

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// More and more requests arrive, or some daemons aren't heard: endpoints state more requests
// than are reported. They must not get more than they run at once. What they state ages.
func TestHiddenLoadCountsAsLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFixture("a", "b")
		p.options.Snapshot().Config.Services["s"].Engine.Slots = 4
		request := Request{Service: "s", Model: "m", Remaining: time.Second, MaxWait: 10 * time.Millisecond}
		first, err := p.Acquire(t.Context(), request)
		is.NoErr(err)
		for range 50 {
			first.State(6) // one of which is this request
		}
		_, err = p.Acquire(t.Context(), request)
		is.True(err != nil)
		time.Sleep(5 * hiddenMemory)
		second, err := p.Acquire(t.Context(), request)
		is.NoErr(err)
		first.Done(false)
		second.Done(false)
	})
}

func TestHidden(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	var h hidden
	is.Equal(h.requests(now, 20), 0)
	for range 60 {
		h.add(now, 5)
	}
	is.Equal(h.requests(now, 20), 5)
	is.Equal(h.requests(now, 3), 3+overcommit) // never more than an endpoint may hold
	is.Equal(h.requests(now.Add(4*hiddenMemory), 20), 0)
	for range 60 {
		h.add(now, -5) // reports that are too high say nothing of hidden load
	}
	is.Equal(h.requests(now, 20), 0)
}
