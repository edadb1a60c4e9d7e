package front

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A request in whose run endpoints crash is refused after the third, also where
// other daemons saw the crashes.
func TestCrashingRequestIsRefused(t *testing.T) {
	is := is.New(t)
	var stubs []*stub
	for _, id := range []string{"a", "b", "c"} {
		b := newStub(t, id, nil)
		b.script = func(io.Writer, *http.Request) bool {
			b.crash(150 * time.Millisecond)
			return false
		}
		stubs = append(stubs, b)
	}
	runs := func() int { return stubs[0].count() + stubs[1].count() + stubs[2].count() }
	w := newWorld(t, "plain", stubs...)
	for range 40 {
		w.call(t, "POST", "/file/", nil)
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(w.call(t, "POST", "/file/", nil).status, 503)
	before := runs()
	is.True(before < 20) // the crashes of one endpoint within seconds count as one
	other := newWorld(t, "plain", stubs...)
	other.front.options.Strikes.Hear(w.front.options.Strikes.Told())
	is.Equal(other.call(t, "POST", "/file/", nil).status, 503)
	is.Equal(runs(), before)
}

// Connections that are cut are no crashes: the endpoints are there. Equal
// requests were refused everywhere for a minute after three cuts (soak, seed 9).
func TestCutConnectionsAreNoCrashes(t *testing.T) {
	is := is.New(t)
	var cut atomic.Bool
	cut.Store(true)
	s := func(w io.Writer, r *http.Request) bool { return !cut.Load() && whole(200, "done")(w, r) }
	w := newWorld(t, "plain", newStub(t, "a", s), newStub(t, "b", s), newStub(t, "c", s))
	for range 12 {
		is.Equal(w.call(t, "POST", "/file/", nil).status, 502)
		time.Sleep(20 * time.Millisecond)
	}
	cut.Store(false)
	is.Equal(w.call(t, "POST", "/file/", nil).status, 200)
}

// Requests that are alike and stood in the crash of an endpoint are not refused:
// one that is served clears the others.
func TestAlikeRequestsAreCleared(t *testing.T) {
	is := is.New(t)
	var s Strikes
	for _, endpoint := range []string{"a", "b", "c"} {
		s.Add("d", endpoint)
	}
	is.True(s.Out("d"))
	s.Clear("d")
	is.True(!s.Out("d"))
	s.Hear(map[string]int{"d": 3})
	is.True(!s.Out("d")) // others' crashes don't outweigh a run that ended well here
	for range 9 {
		s.Add("e", "a")
	}
	is.True(!s.Out("e")) // one endpoint's crash
}
