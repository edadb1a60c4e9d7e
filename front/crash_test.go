package front

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/conns"
)

// newCrashing starts endpoints that crash at each request and are back soon.
func newCrashing(t *testing.T, ids ...string) []*stub {
	t.Helper()
	var stubs []*stub
	for _, id := range ids {
		b := newStub(t, id, nil)
		b.script = func(io.Writer, *http.Request) bool {
			b.crash(150 * time.Millisecond)
			return false
		}
		stubs = append(stubs, b)
	}
	return stubs
}

// A request that crashes endpoints is refused after the third crash, also by a
// daemon that learned of the crashes from others.
func TestCrashingRequestIsRefused(t *testing.T) {
	is := is.New(t)
	stubs := newCrashing(t, "a", "b", "c")
	runs := func() int { return stubs[0].count() + stubs[1].count() + stubs[2].count() }
	f := newFixture(t, "plain", stubs...)
	for range 40 {
		f.call(t, "POST", "/file/", nil)
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(f.call(t, "POST", "/file/", nil).status, 503)
	before := runs()
	is.True(before < 20) // crashes of one endpoint within crashInterval count as one
	second := newFixture(t, "plain", stubs...)
	second.front.options.Crashes.SetRemote(f.front.options.Crashes.Counts())
	is.Equal(second.call(t, "POST", "/file/", nil).status, 503)
	is.Equal(runs(), before)
}

// A cut connection to an endpoint that still accepts connections is no crash.
// Equal requests were refused by all daemons for a minute after three cut
// connections (soak, seed 9).
func TestCutConnectionsAreNotCrashes(t *testing.T) {
	is := is.New(t)
	var cut atomic.Bool
	cut.Store(true)
	s := func(w io.Writer, r *http.Request) bool { return !cut.Load() && signed(200, "done")(w, r) }
	f := newFixture(t, "plain", newStub(t, "a", s), newStub(t, "b", s), newStub(t, "c", s))
	for range 12 {
		is.Equal(f.call(t, "POST", "/file/", nil).status, 502)
		time.Sleep(20 * time.Millisecond)
	}
	cut.Store(false)
	is.Equal(f.call(t, "POST", "/file/", nil).status, 200)
}

// Equal requests that were in progress while endpoints crashed must not be refused
// once one of them was served: it clears the count.
func TestServedRequestClearsCrashes(t *testing.T) {
	is := is.New(t)
	var c Crashes
	for _, endpoint := range []string{"a", "b", "c"} {
		c.Add("d", endpoint)
	}
	is.True(c.Blocked("d"))
	c.Clear("d")
	is.True(!c.Blocked("d"))
	c.SetRemote(map[string]int{"d": 3})
	is.True(!c.Blocked("d")) // a recent success here outweighs crashes reported by others
	for range 9 {
		c.Add("e", "a")
	}
	is.True(!c.Blocked("e")) // repeated reports of one endpoint count as one crash
}

// A daemon that is cut off from all endpoints finds none of those that broke off to accept
// connections. That is no crash, of which the requests or parts of their prompts would be
// suspected everywhere.
func TestCutOffCountsAsCrashes(t *testing.T) {
	is := is.New(t)
	stubs := newCrashing(t, "a", "b", "c")
	f := newFixture(t, "plain", stubs...)
	f.front.options.Reach = newReach(t, false)
	for range 20 {
		f.call(t, "POST", "/file/", nil)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(2 * probeTimeout)
	is.Equal(len(f.front.options.Crashes.Counts()), 0)
	is.Equal(len(f.front.options.Parts.Counts()), 0)
}

// A cut that comes to one endpoint after the other lets one answer while the probe of another
// one already fails. That says nothing of the path after it (soak, cuts, seed 1796406100 with
// nine daemons: equal requests were refused everywhere).
func TestCutInStepsCountsAsCrashes(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "plain", newCrashing(t, "a", "b", "c")...)
	r := newReach(t, false)
	f.front.options.Reach = r
	broken := map[string]bool{} // endpoints that took a connection before
	var mu sync.Mutex
	f.front.options.Pool = conns.New(func(ctx context.Context, address string) (net.Conn, error) {
		mu.Lock()
		defer mu.Unlock()
		if broken[address] {
			r.Reached()
			return nil, errors.New("reset")
		}
		broken[address] = true
		return conns.Dial(ctx, address)
	})
	for range 20 {
		f.call(t, "POST", "/file/", nil)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(2 * probeTimeout)
	is.Equal(len(f.front.options.Crashes.Counts()), 0)
}
