package front

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/pick"
	"clementinehead.example/chead/site"
)

// listen serves the fixture's callers as a daemon does.
func (f *fixture) listen(t *testing.T) string {
	t.Helper()
	server := httptest.NewUnstartedServer(f.front)
	NewCallers(func() site.Limits { return site.Limits{} }).Attach(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// occupy takes all slots of the service, and returns what frees them.
func (f *fixture) occupy(t *testing.T, service, model string) (free func()) {
	t.Helper()
	var slots []*pick.Slot
	for {
		slot, err := f.front.options.Placer.Acquire(t.Context(), pick.Request{Service: service, Model: model})
		if err != nil {
			break
		}
		slots = append(slots, slot)
	}
	return func() {
		for _, slot := range slots {
			slot.Done(false)
		}
	}
}

// leave sends a request, and leaves after a time. With extra, the server has another byte to
// read, so that it doesn't see by itself that the caller left; as if it were late.
func leave(t *testing.T, address, path string, extra bool, after time.Duration) {
	t.Helper()
	is := is.New(t)
	c, err := net.Dial("tcp4", address)
	is.NoErr(err)
	text := "POST " + path + " HTTP/1.1\r\nHost: " + testHost + "\r\nX-Request-Id: id-1\r\nAuthorization: Bearer good-key\r\nX-Model: m\r\nX-Deadline-Ms: 2500\r\nContent-Length: 1\r\n\r\nb"
	_, err = io.WriteString(c, text)
	is.NoErr(err)
	time.Sleep(after)
	if extra {
		_, err = io.WriteString(c, "\n")
		is.NoErr(err)
		time.Sleep(unseenPause)
	}
	is.NoErr(c.Close())
}

// unseenPause is between the byte that a caller sends after its request and its leaving.
const unseenPause = 30 * time.Millisecond

// services are those of the routes, with the model for a request.
var services = map[string][2]string{"/read/": {"plain", ""}, "/file/": {"plain", ""}, "/talk/": {"engines", "m"}, "/tell/": {"engines", "m"}}

// A request was sent to an endpoint after its caller had left: one that may run only once,
// and any whose leaving the server hadn't seen, since the process was late.
func TestRequestOfACallerThatLeftWhileItWaitedIsNotSent(t *testing.T) {
	for path, service := range services {
		for name, extra := range map[string]bool{"seen by the server": false, "not seen": true} {
			t.Run(path+name, func(t *testing.T) {
				is := is.New(t)
				a := newStub(t, "a", signed(200, "x"))
				f := newFixture(t, service[0], a)
				address := f.listen(t)
				free := f.occupy(t, service[0], service[1])
				leave(t, address, path, extra, 150*time.Millisecond)
				time.Sleep(50 * time.Millisecond)
				free()
				time.Sleep(300 * time.Millisecond)
				is.Equal(a.count(), 0)
			})
		}
	}
}

// A request was sent to a second endpoint 2.6 s after its caller had left.
func TestRequestOfACallerThatLeftIsNotSentAgain(t *testing.T) {
	for _, path := range []string{"/read/", "/talk/", "/tell/"} {
		for name, extra := range map[string]bool{"seen by the server": false, "not seen": true} {
			t.Run(path+name, func(t *testing.T) {
				is := is.New(t)
				refuse := func(w io.Writer, _ *http.Request) bool {
					time.Sleep(300 * time.Millisecond)
					_, _ = io.WriteString(w, "HTTP/1.1 503 X\r\nX-Request-Id: id-1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
					return true
				}
				a, b := newStub(t, "a", refuse), newStub(t, "b", refuse)
				f := newFixture(t, services[path][0], a, b)
				leave(t, f.listen(t), path, extra, 100*time.Millisecond)
				time.Sleep(600 * time.Millisecond)
				is.Equal(a.count()+b.count(), 1)
			})
		}
	}
}
