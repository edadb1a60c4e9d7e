package front

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/pick"
)

// A request whose endpoint broke off waits for a slot as long as its caller does, since
// it can't be refused as not run. It was given up after a third of the time left.
func TestInterruptedRequestWaits(t *testing.T) {
	for _, c := range []struct {
		name  string
		first script
	}{
		{"in the middle of its stream", events(1, false)},
		{"before the first event", raw("", false)},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a, b := newStub(t, "a", c.first), newStub(t, "b", events(3, true))
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
		})
	}
}
