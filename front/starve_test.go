package front

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/pick"
)

// A stream at an endpoint that stands still gets the next slot that becomes free
// elsewhere, though requests wait in the queue: each freed slot went to these.
func TestStalledStreamIsNotStarvedByQueue(t *testing.T) {
	is := is.New(t)
	stall := func(w io.Writer, r *http.Request) bool {
		stallAfterOne(w, r)
		time.Sleep(4 * time.Second)
		return false
	}
	a, b := newStub(t, "a", stall), newStub(t, "b", events(3, true))
	f := newFixture(t, "engines", a, b)
	placer := f.front.options.Placer
	request := pick.Request{Service: "engines", Model: "m", Avoid: map[string]bool{"a": true}}
	for range 200 { // slots are freed often, so requests are admitted to the queue
		slot, err := placer.Acquire(t.Context(), request)
		is.NoErr(err)
		time.Sleep(5 * time.Millisecond)
		slot.Left()
	}
	var held []*pick.Slot
	for {
		slot, err := placer.Acquire(t.Context(), request)
		if err != nil {
			break // b is full
		}
		held = append(held, slot)
	}
	var others sync.WaitGroup
	request.MaxWait, request.Remaining, request.Retried = 3*time.Second, 3*time.Second, true
	for range 6 {
		others.Go(func() {
			time.Sleep(200 * time.Millisecond) // after the stream has begun
			if slot, err := placer.Acquire(t.Context(), request); err == nil {
				time.Sleep(2 * time.Second)
				slot.Done(false)
			}
		})
	}
	time.AfterFunc(time.Second, held[0].Left)
	time.AfterFunc(2*time.Second, func() {
		for _, slot := range held[1:] {
			slot.Left()
		}
	})
	got := f.call(t, "POST", "/talk/", func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "3000") })
	is.True(!got.truncated)
	is.Equal(got.body, "id: 1\ndata: xx\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n")
	others.Wait()
}
