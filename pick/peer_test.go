package pick

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/site"
)

// While this daemon is cut off from endpoints, requests get slots at other daemons, those
// that wait in a queue too; one that another daemon sent here, and all once it is over, get
// them at endpoints. None counts as load of an endpoint or as arrival here.
func TestSlotsAtOtherDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFixture("a")
		cut := false
		p.options.CutOff = func() bool { return cut }
		p.options.Peers = func() []site.Daemon { return []site.Daemon{{ID: "d2"}, {ID: "d3"}} }
		request := Request{Service: "s", Model: "m", Remaining: time.Second, MaxWait: time.Second}
		for range 2 { // its slot and one beyond
			_, err := p.Acquire(t.Context(), request)
			is.NoErr(err)
		}
		waiting := request
		waiting.Begun = true
		queued := make(chan *Slot)
		go func() {
			slot, _ := p.Acquire(t.Context(), waiting)
			queued <- slot
		}()
		synctest.Wait()
		cut = true
		p.Update(nil, nil)
		is.True((<-queued).Peer)
		arrivals := p.queue(request.key()).arrivals.count
		chosen := map[string]int{}
		for range 50 {
			slot, err := p.Acquire(t.Context(), request)
			is.NoErr(err)
			is.True(slot.Peer)
			chosen[slot.Endpoint.ID]++
			slot.Progress(false)
			slot.Done(false)
		}
		is.Equal(p.queue(request.key()).arrivals.count, arrivals)
		is.Equal(p.Report().Endpoints["a"].Running, 2)
		is.Equal(len(p.Report().Endpoints), 1)
		avoiding := request
		avoiding.Avoid = map[string]bool{"d2": true}
		slot, err := p.Acquire(t.Context(), avoiding)
		is.NoErr(err)
		is.Equal(slot.Endpoint.ID, "d3")
		slot.Suspect() // can't be reached
		slot.Done(true)
		_, err = p.Acquire(t.Context(), avoiding)
		refused, ok := err.(*Error)
		is.True(ok)
		is.Equal(refused.Kind, CutOff)
		relayed := request
		relayed.Relayed = true
		relayed.MaxWait = time.Millisecond
		_, err = p.Acquire(t.Context(), relayed)
		refused, ok = err.(*Error)
		is.True(ok)
		is.True(refused.Kind != CutOff) // it is for the endpoint, which is full
		cut = false
		p.options.Peers = func() []site.Daemon { return nil }
		time.Sleep(suspectPause)
		p.Update(nil, nil)
		is.True(len(p.peers) <= 1)
	})
}
