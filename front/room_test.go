package front

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/hold"
)

// Where there is no memory for a request's body, the request is refused as not run at once.
// One for whose answer there is none gets an error that doesn't say so.
func TestNoMemory(t *testing.T) {
	is := is.New(t)
	a := newStub(t, "a", signed(200, strings.Repeat("x", 8<<10)))
	f := newFixture(t, "plain", a)
	f.front.options.Hold = hold.New(hold.NewLimits(4))
	began := time.Now()
	got := f.call(t, "POST", "/read/", nil)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(got.body, "{\"error\":\"no memory\"}\n")
	is.True(got.header.Get("Retry-After") != "")
	is.True(time.Since(began) < 500*time.Millisecond)
	is.Equal(a.count(), 0)
	f.front.options.Hold = hold.New(hold.NewLimits(4 << 10))
	is.Equal(f.call(t, "POST", "/file/", nil).status, http.StatusBadGateway)
	is.Equal(a.count(), 1)
}

// Where an answer needs the room, callers that don't read are ended for it, and one that
// reads slowly isn't.
func TestWhoReadsNothingGivesWay(t *testing.T) {
	is := is.New(t)
	const stopped, last, answer = 5, 200, 200 << 10
	s := func(w io.Writer, r *http.Request) bool {
		if r.URL.Path == "/seek/" {
			return signed(200, strings.Repeat("x", answer))(w, r)
		}
		return longStream(last, 0, 0, 10*time.Second)(w, r)
	}
	f := newFixture(t, "engines", newStub(t, "a", s), newStub(t, "b", s))
	f.front.options.Hold = hold.New(hold.NewLimits(2 * answer))
	lines := f.captureLog()
	address := f.smallBuffers(t)
	for range stopped {
		dialSlow(t, address, "/talk/", 3*time.Second)
	}
	var slow string
	var err error
	var reading sync.WaitGroup
	reading.Go(func() { slow, err = readSlowly(dialSlow(t, address, "/talk/", 3*time.Second), 100<<10) })
	time.Sleep(1500 * time.Millisecond) // longer than a reader is watched
	got := f.call(t, "GET", "/seek/", nil)
	is.Equal(got.status, http.StatusOK)
	is.Equal(len(got.body), answer)
	reading.Wait()
	is.NoErr(err)
	is.True(slow == longBody(last))
	gone := lines("slow reader gives way")
	is.True(len(gone) > 0 && len(gone) <= stopped)
	is.True(strings.Contains(gone[0], hold.Late.String()))
	is.Equal(len(lines("request cut")) >= len(gone), true)
}
