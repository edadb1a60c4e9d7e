package pick

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/gossip"
)

// Nine daemons share the endpoints of a model: ten slots are freed per second, but
// only about one of them by this daemon. A request that found an empty queue was
// refused, because the daemon counted only the slots that it freed itself, and these
// were too few for the latency target (trace quiet-1 of pgoi at 34 s: 0 requests
// ahead, 1.2 slots freed per second).
func TestFreedSlotsOfAllDaemonsCount(t *testing.T) {
	for _, c := range []struct {
		name   string
		others gossip.Queue
		waits  bool
	}{
		{"alone", gossip.Queue{}, false},
		{"others free slots", gossip.Queue{FreeRate: 9, ArrivalRate: 8}, true},
		{"others wait for them", gossip.Queue{FreeRate: 9, ArrivalRate: 8, InTime: 9}, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			p := newFixture("a")
			request := Request{Service: "s", Model: "m", Remaining: 400 * time.Millisecond, MaxWait: time.Second}
			for range 4 { // about one slot per second is freed here
				slot, err := p.Acquire(t.Context(), request)
				is.NoErr(err)
				time.Sleep(time.Second)
				slot.Done(false)
			}
			first, err := p.Acquire(t.Context(), request)
			is.NoErr(err)
			second, err := p.Acquire(t.Context(), request)
			is.NoErr(err) // one request may wait at the endpoint
			p.Update([]gossip.Message{{Queues: map[string]gossip.Queue{request.key(): c.others}}}, nil)
			go func() {
				time.Sleep(100 * time.Millisecond)
				first.Done(false)
			}()
			third, err := p.Acquire(t.Context(), request)
			is.Equal(err == nil, c.waits)
			if err == nil {
				third.Done(false)
			}
			second.Done(false)
			synctest.Wait()
			time.Sleep(time.Second)
		})
	}
}
