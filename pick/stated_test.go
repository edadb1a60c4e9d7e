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
		slots := []*Slot{first}
		for {
			slot, err := p.Acquire(t.Context(), request)
			if err != nil {
				break
			}
			slots = append(slots, slot)
		}
		is.Equal(len(slots), 4) // two at each, beside the three that are hidden; 10 otherwise
		time.Sleep(5 * hiddenMemory)
		for _, s := range slots {
			s.Progress(true)
		}
		last, err := p.Acquire(t.Context(), request)
		is.NoErr(err)
		for _, s := range append(slots, last) {
			s.Done(false)
		}
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
	is.Equal(h.requests(now, 3), 2) // fewer than the slots
	is.Equal(h.requests(now.Add(4*hiddenMemory), 20), 0)
	for range 60 {
		h.add(now, -5) // reports that are too high say nothing of hidden load
	}
	is.Equal(h.requests(now, 20), 0)
}

// One endpoint states a load that can't be true. The others must not count as full.
func TestWrongStatedLoad(t *testing.T) {
	is := is.New(t)
	p := newFixture("a", "b")
	p.options.Snapshot().Config.Services["s"].Engine.Slots = 4
	request := Request{Service: "s", Model: "m", Remaining: time.Second, MaxWait: 10 * time.Millisecond}
	first, err := p.Acquire(t.Context(), request)
	is.NoErr(err)
	first.State(100_000)
	second, err := p.Acquire(t.Context(), request)
	is.NoErr(err)
	is.True(p.queue("s/m").hidden.load <= 1)
	first.Done(false)
	second.Done(false)
}
