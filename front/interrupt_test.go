package front

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/pick"
)

// An interrupted stream waits for a slot as long as its caller does. It was cut after
// a third of the time left.
func TestInterruptedStreamWaits(t *testing.T) {
	is := is.New(t)
	a, b := newStub(t, "a", events(1, false)), newStub(t, "b", events(3, true))
	f := newFixture(t, "engines", a, b)
	var slots []*pick.Slot
	for {
		slot, err := f.front.options.Placer.Acquire(t.Context(), pick.Request{Service: "engines", Model: "m", Avoid: map[string]bool{"a": true}})
		if err != nil {
			break // b is full
		}
		slots = append(slots, slot)
	}
	time.AfterFunc(1800*time.Millisecond, func() {
		for _, slot := range slots {
			slot.Done(false)
		}
	})
	got := f.call(t, "POST", "/talk/", func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "3000") })
	is.True(!got.truncated)
	is.Equal(got.body, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n")
}
