package front

import (
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// A request in whose run endpoints crash is refused after the third, also where
// other daemons saw the crashes.
func TestCrashingRequestIsRefused(t *testing.T) {
	is := is.New(t)
	crash := func(io.Writer, *http.Request) bool { return false }
	stubs := []*stub{newStub(t, "a", crash), newStub(t, "b", crash), newStub(t, "c", crash)}
	runs := func() int { return stubs[0].count() + stubs[1].count() + stubs[2].count() }
	w := newWorld(t, "plain", stubs...)
	for range 40 {
		w.call(t, "POST", "/file/", nil)
	}
	is.Equal(w.call(t, "POST", "/file/", nil).status, 503)
	before := runs()
	is.True(before < 20) // the crashes of one endpoint within seconds count as one
	other := newWorld(t, "plain", stubs...)
	other.front.options.Strikes.Hear(w.front.options.Strikes.Told())
	is.Equal(other.call(t, "POST", "/file/", nil).status, 503)
	is.Equal(runs(), before)
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
