package front

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/pick"
	"clementinehead.example/chead/simul"
)

// A silent send is not left for an endpoint that can't be reached: the retry used up
// the budget, and the stream of the sound endpoint was cut (issue 23).
func TestSilentSendIsNotLeftForUnreachableEndpoint(t *testing.T) {
	is := is.New(t)
	unreachable := newStub(t, "b", events(4, true))
	unreachable.close()
	f := newFixture(t, "engines", newStub(t, "a", paced(4, 0, 700*time.Millisecond)), unreachable)
	f.front.options.Placer = newPlacer(f.front.options.Snapshot, pick.Budget{Extra: 1.5, Window: 10 * time.Second})
	holdSlots(t, f, "a", 300*time.Millisecond)
	got := f.call(t, "POST", "/talk/", func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "3000") })
	is.Equal(got.status, 200)
	is.True(!got.truncated)
	is.Equal(got.body, simul.StreamBody(4))
}

// holdSlots takes all slots but those at one endpoint for a time, so that a request
// that begins meanwhile runs there.
func holdSlots(t *testing.T, f *fixture, except string, hold time.Duration) {
	t.Helper()
	request := pick.Request{Service: "engines", Model: "m", Avoid: map[string]bool{except: true}}
	for {
		slot, err := f.front.options.Placer.Acquire(t.Context(), request)
		if err != nil {
			return
		}
		time.AfterFunc(hold, slot.Left)
	}
}

// A silent send is not left for an endpoint that refuses the request.
func TestSilentSendIsNotLeftForRefusal(t *testing.T) {
	is := is.New(t)
	full := newStub(t, "b", raw("HTTP/1.1 503 X\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", true))
	f := newFixture(t, "engines", newStub(t, "a", paced(4, 0, 700*time.Millisecond)), full)
	f.front.options.Placer = newPlacer(f.front.options.Snapshot, pick.Budget{Extra: 1.5, Window: 10 * time.Second})
	holdSlots(t, f, "a", 300*time.Millisecond)
	got := f.call(t, "POST", "/talk/", func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "3000") })
	is.Equal(got.status, 200)
	is.True(!got.truncated)
	is.Equal(got.body, simul.StreamBody(4))
}
