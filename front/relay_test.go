package front

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/pick"
	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
)

// peerOf returns the daemon of a fixture as another one sees it. The function through is
// called with each request that comes from another daemon; false ends its connection.
func (f *fixture) peerOf(t *testing.T, id string, through func(*http.Request) bool) site.Daemon {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		relay, found := platform.ParseRelay(r.Header)
		if !found || through != nil && !through(r) {
			panic(http.ErrAbortHandler)
		}
		f.front.ServeRelayed(w, r, relay)
	}))
	t.Cleanup(server.Close)
	return site.Daemon{ID: id, Peer: server.Listener.Addr().String()}
}

// relayRig is a daemon that is cut off from its endpoint, and one that reaches its own.
type relayRig struct {
	cut, sound *fixture
	unreached  *stub // endpoint of the cut one
	endpoint   *stub // of the sound one
}

func newRelayRig(t *testing.T, service string, s script, through func(*http.Request) bool) *relayRig {
	t.Helper()
	r := &relayRig{unreached: newStub(t, "u", signed(200, "wrong")), endpoint: newStub(t, "e", s)}
	r.cut, r.sound = newFixture(t, service, r.unreached), newFixture(t, service, r.endpoint)
	r.cut.cut.Store(true)
	r.cut.peers = []site.Daemon{r.sound.peerOf(t, "sound", through)}
	return r
}

// A daemon that is cut off from endpoints sends its callers' requests through another one:
// with their key, which is checked there, and nothing of the daemons' own reaches endpoints
// or callers.
func TestRequestThroughAnotherDaemon(t *testing.T) {
	for _, c := range []struct {
		service, method, path string
		endpoint              script
		body                  string
	}{
		{"plain", "GET", "/read/x?q=1", signed(200, "ok"), "ok"},
		{"plain", "POST", "/file/x", signed(200, "ok"), "ok"},
		{"plain", "POST", "/file/x", signed(500, "no"), "no"},
		{"engines", "POST", "/talk/x", events(3, true), "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"},
	} {
		t.Run(c.path, func(t *testing.T) {
			is := is.New(t)
			r := newRelayRig(t, c.service, c.endpoint, nil)
			got := r.cut.call(t, c.method, c.path, func(r *http.Request) {
				r.Header.Set("Chead-Attempts", "9") // a caller's own
				r.Header.Set("X-Tenant", "other")
			})
			is.Equal(got.body, c.body)
			is.Equal(got.header.Get("X-Server-Signature"), "s")
			is.Equal(r.unreached.count(), 0)
			is.Equal(r.endpoint.count(), 1)
			sent := r.endpoint.last()
			is.Equal(sent.URL.RequestURI(), c.path)
			is.Equal(sent.Header.Get("X-Tenant"), "guild")
			is.Equal(sent.Header.Get("Authorization"), "")
			is.Equal(r.endpoint.bodies[0], "the body")
			for _, h := range []http.Header{sent.Header, got.header} {
				for name := range h {
					is.True(!strings.HasPrefix(name, "Chead-"))
				}
			}
		})
	}
}

// What may run once isn't sent again if the other daemon ends while it has the request.
func TestRequestThroughADaemonThatEnds(t *testing.T) {
	for _, path := range []string{"/file/x", "/read/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			var came atomic.Int64
			end := func(*http.Request) bool {
				came.Add(1)
				return false
			}
			r := newRelayRig(t, "plain", signed(200, "ok"), end)
			r.cut.peers = append(r.cut.peers, r.sound.peerOf(t, "second", end))
			is.Equal(r.cut.call(t, "POST", path, nil).status, http.StatusBadGateway)
			is.Equal(came.Load(), int64(1)) // it may have used all attempts there
		})
	}
}

// A daemon that can't take a request says so, and a third one gets it: one that is gone, one
// that stops, one whose configuration stays older. A refusal for lack of room is passed on.
func TestRequestThroughAThirdDaemon(t *testing.T) {
	is := is.New(t)
	r := newRelayRig(t, "plain", signed(200, "ok"), nil)
	gone := site.Daemon{ID: "gone", Peer: "127.0.0.1:1"}
	stopping := newFixture(t, "plain", r.endpoint)
	stopping.front.Refuse()
	r.cut.peers = append(r.cut.peers, gone, stopping.peerOf(t, "stopping", nil))
	for range 10 {
		is.Equal(r.cut.call(t, "GET", "/read/x", nil).status, http.StatusOK)
	}
	r.cut.peers = []site.Daemon{gone}
	is.Equal(r.cut.call(t, "GET", "/read/x", nil).status, http.StatusServiceUnavailable)
	full := newFixture(t, "plain") // without endpoints
	r.cut.peers = []site.Daemon{full.peerOf(t, "full", nil)}
	got := r.cut.call(t, "GET", "/read/x", func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "300") })
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
	is.True(strings.Contains(got.body, "Nowhere"))
}

// Without another daemon a request is refused at once. One that another daemon sent here
// goes to no third one.
func TestCutOffWithoutAnotherDaemon(t *testing.T) {
	is := is.New(t)
	r := newRelayRig(t, "plain", signed(200, "ok"), nil)
	r.cut.peers = nil
	began := time.Now()
	got := r.cut.call(t, "GET", "/read/x", nil)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(got.body, "Cut off"))
	is.True(time.Since(began) < 300*time.Millisecond)
	is.True(got.header.Get("Retry-After") != "")
	r.sound.cut.Store(true) // not known to the daemon that sends requests through it
	r.sound.peers = []site.Daemon{r.sound.peerOf(t, "itself", nil)}
	r.cut.peers = r.sound.peers
	is.Equal(r.cut.call(t, "GET", "/read/x", nil).status, http.StatusOK)
	is.Equal(r.endpoint.count(), 1) // sent directly
}

// The other daemon gets what is left of the deadline, and sends the request to no more
// endpoints than are left of those that the route allows.
func TestLimitsThroughAnotherDaemon(t *testing.T) {
	is := is.New(t)
	var relay atomic.Pointer[platform.Relay]
	var deadline atomic.Pointer[string]
	r := newRelayRig(t, "plain", raw("HTTP/1.1 500 X\r\nX-Request-Id: %s\r\nX-Server-Signature: s\r\nContent-Length: 0\r\n\r\n", true), func(r *http.Request) bool {
		stated, _ := platform.ParseRelay(r.Header)
		left := r.Header.Get("X-Deadline-Ms")
		relay.Store(&stated)
		deadline.Store(&left)
		return true
	})
	is.Equal(r.cut.call(t, "GET", "/read/x", nil).status, http.StatusInternalServerError)
	is.Equal(*relay.Load(), platform.Relay{Daemon: "plain-daemon", Attempts: 2, Version: 3})
	is.True(len(*deadline.Load()) == 4 && *deadline.Load() <= "2000")
	is.True(r.endpoint.count() <= 2)
	r.sound.call(t, "GET", "/read/x", nil)
	direct := httptest.NewRequest("GET", "/read/x", http.NoBody)
	direct.Host = testHost
	direct.Header.Set("Authorization", "Bearer good-key")
	direct.Header.Set("X-Request-Id", "id-2")
	before := r.endpoint.count()
	w := httptest.NewRecorder()
	r.sound.front.ServeRelayed(w, direct, platform.Relay{Daemon: "d", Attempts: 1})
	is.Equal(r.endpoint.count(), before+1)
	_, _ = io.Copy(io.Discard, w.Result().Body)
}

// A request waits for the version of the configuration by which another daemon handled one
// before, and one that is sent through another daemon for that of the first.
func TestVersionThroughAnotherDaemon(t *testing.T) {
	is := is.New(t)
	r := newRelayRig(t, "plain", signed(200, "ok"), nil)
	is.Equal(r.cut.call(t, "GET", "/read/x", nil).status, http.StatusOK)
	is.Equal(r.cut.front.newest.Load(), testConfig.Version)
	r.cut.front.noteVersion(testConfig.Version - 1)
	is.Equal(r.cut.front.newest.Load(), testConfig.Version)
	r.cut.front.noteVersion(testConfig.Version + 1)
	began := time.Now()
	is.Equal(r.cut.call(t, "GET", "/read/x", nil).status, http.StatusServiceUnavailable) // the other one stays older
	is.True(time.Since(began) >= versionWait)
}

// A send hangs as the daemon is cut off, and may run yet. If another daemon refuses the
// request, the caller must not be told that it hasn't run.
func TestRefusalAfterASendThatHangs(t *testing.T) {
	is := is.New(t)
	r := newRelayRig(t, "plain", signed(200, "ok"), nil)
	full := newFixture(t, "plain") // without endpoints
	r.cut.peers = []site.Daemon{full.peerOf(t, "full", nil)}
	r.cut.cut.Store(false)
	r.unreached.script = func(io.Writer, *http.Request) bool {
		time.Sleep(4 * time.Second)
		return false
	}
	r.cut.front.options.Reach = newReach(t, false)
	time.AfterFunc(100*time.Millisecond, func() {
		r.cut.cut.Store(true)
		r.cut.front.options.Reach.Failed("a")
		r.cut.front.options.Reach.Failed("b")
	})
	is.Equal(r.cut.call(t, "GET", "/read/x", nil).status, http.StatusGatewayTimeout)
	is.Equal(r.unreached.count(), 1)
}

// Guards against BUDGET: an endpoint refused a request that came through another daemon,
// which then stopped; the next daemon's send wasn't counted as a retry.
func TestRetryThroughAThirdDaemonCounts(t *testing.T) {
	for _, c := range []struct {
		name   string
		extra  float64
		status int
		third  int
	}{{"none left", 0, http.StatusServiceUnavailable, 0}, {"one left", 1, http.StatusOK, 1}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newRelayRig(t, "plain", nil, nil)
			o := placerOptions(r.cut.snapshot.Load, pick.Budget{Extra: c.extra, Window: time.Second})
			o.CutOff = r.cut.cut.Load
			o.Peers = func() []site.Daemon { return r.cut.peers }
			r.cut.front.options.Placer = pick.New(o)
			r.endpoint.script = func(w io.Writer, req *http.Request) bool {
				r.sound.front.phase.Store(int32(ending))
				return raw("HTTP/1.1 503 X\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", true)(w, req)
			}
			last := newStub(t, "l", signed(200, "ok"))
			third := newFixture(t, "plain", last)
			r.cut.peers = []site.Daemon{third.peerOf(t, "third", nil), r.cut.peers[0]} // the second one is chosen first
			is.Equal(r.cut.call(t, "GET", "/read/x", nil).status, c.status)
			is.Equal(r.endpoint.count(), 1)
			is.Equal(last.count(), c.third)
		})
	}
}
