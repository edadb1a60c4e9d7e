package front

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A caller that doesn't read for a time, or reads slowly, gets its stream whole and in order,
// though the endpoint cuts off what remains unread, or breaks off meanwhile, and also through
// another daemon. The endpoint's cut came to the caller before.
func TestSlowCallerGetsItsStreamWhole(t *testing.T) {
	const last = 2000 // 2 MB, more than the sockets between hold
	for name, c := range map[string]struct {
		first script
		relay bool
	}{
		"cut if unread": {longStream(last, 0, 0, time.Second), false},
		"broken off":    {longStream(last, last/2, 0, time.Second), false},
		"relayed":       {longStream(last, 0, 0, time.Second), true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var sends atomic.Int64
			s := func(w io.Writer, r *http.Request) bool {
				if sends.Add(1) == 1 {
					return c.first(w, r)
				}
				return longStream(last, 0, 0, time.Second)(w, r)
			}
			var f *fixture
			if c.relay {
				f = newRelayRig(t, "engines", s, nil).cut
			} else {
				f = newFixture(t, "engines", newStub(t, "a", s), newStub(t, "b", s))
			}
			setTimeout(t, "talk", 8*time.Second)
			caller := dialSlow(t, f.smallBuffers(t), "/talk/", 8*time.Second)
			time.Sleep(1500 * time.Millisecond)
			is.True(f.front.options.Hold.State().Held > 1<<20)
			got, err := readSlowly(caller, 2<<20)
			is.NoErr(err)
			is.True(got == longBody(last))
			is.Equal(sends.Load() > 1, name == "broken off")
			for f.front.Active() > 0 {
				time.Sleep(time.Millisecond)
			}
			is.Equal(f.front.options.Hold.State().Held, int64(0))
		})
	}
}

// A caller that takes a byte now and then holds its request until its deadline and no longer,
// and sees that its response is cut. A plain answer's handler waited for it for ever.
func TestByteNowAndThenEndsAtDeadline(t *testing.T) {
	for path, service := range map[string]string{"/talk/": "engines", "/read/": "plain"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			s := longStream(4000, 0, 0, time.Second)
			if path == "/read/" {
				s = signed(200, strings.Repeat("x", 6<<20))
			}
			f := newFixture(t, service, newStub(t, "a", s))
			const deadline = 800 * time.Millisecond
			c := dialSlow(t, f.smallBuffers(t), path, deadline)
			began := time.Now()
			for range 50 {
				time.Sleep(20 * time.Millisecond)
				if _, err := io.ReadFull(c, make([]byte, 1)); err != nil || time.Since(began) > deadline/4 && f.front.Active() == 0 {
					break
				}
			}
			took := time.Since(began)
			is.True(took > deadline-100*time.Millisecond)
			is.True(took < deadline+300*time.Millisecond)
			is.Equal(f.front.Active(), 0)
			rest, _ := io.ReadAll(c)
			is.True(!strings.HasSuffix(string(rest), "0\r\n\r\n"))
		})
	}
}

// A caller that leaves while a write to it is blocked ends the work at the endpoint at once.
func TestSlowCallerThatLeaves(t *testing.T) {
	is := is.New(t)
	ended := make(chan time.Time, 1)
	f := newFixture(t, "engines", newStub(t, "a", func(w io.Writer, r *http.Request) bool {
		defer func() { ended <- time.Now() }()
		return longStream(100000, 0, time.Millisecond, time.Second)(w, r)
	}))
	c := dialSlow(t, f.smallBuffers(t), "/talk/", 3*time.Second)
	for f.front.options.Hold.State().Slow == 0 {
		time.Sleep(time.Millisecond)
	}
	left := time.Now()
	is.NoErr(c.Close())
	is.True((<-ended).Sub(left) < 500*time.Millisecond)
	for f.front.Active() > 0 {
		is.True(time.Since(left) < 500*time.Millisecond)
		time.Sleep(time.Millisecond)
	}
}

// An endpoint that doesn't read a request's body holds the request until its deadline and no
// longer.
func TestEndpointThatReadsNoBody(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0") // accepts in the system's queue alone
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	f := newFixture(t, "plain", &stub{id: "a", address: listener.Addr().String()})
	limits := testConfig.Limits
	testConfig.Limits.Body = 16 << 20
	defer func() { testConfig.Limits = limits }()
	began := time.Now()
	got := f.call(t, "POST", "/file/", func(r *http.Request) {
		r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 12<<20)))
		r.ContentLength = 12 << 20
		r.Header.Set("X-Deadline-Ms", "1800") // beyond conns.userTimeout
	})
	is.Equal(got.status, http.StatusGatewayTimeout)
	is.True(time.Since(began) > 1700*time.Millisecond)
	is.True(time.Since(began) < 2100*time.Millisecond)
}
