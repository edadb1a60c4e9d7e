package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/site"
)

// A connection is closed after the header or idle timeout in force when its wait
// begins, and no sooner. A connection is not closed while a request is being
// served.
func TestIdleConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	limits := site.Limits{HeaderTime: 100 * time.Millisecond, Idle: 300 * time.Millisecond}
	callers := NewCallers(func() site.Limits { return limits })
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(400 * time.Millisecond)
		_, _ = io.WriteString(w, "done")
	}))
	callers.Attach(server.Config)
	server.Start()
	defer server.Close()

	openFor := func(send string, requests int) time.Duration {
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		reader := bufio.NewReader(c)
		_, err = io.WriteString(c, send)
		is.NoErr(err)
		for range requests {
			response, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			_, err = io.ReadAll(response.Body)
			is.NoErr(err)
		}
		began := time.Now()
		_, err = reader.ReadByte()
		is.True(err != nil)
		return time.Since(began)
	}
	request := "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	is.True(openFor("GET / HTTP/1.1\r\nHo", 0) < 300*time.Millisecond)
	took := openFor(request+request, 2)
	is.True(took > 280*time.Millisecond && took < 600*time.Millisecond)
	is.True(callers.Open() <= 2) // closed connections are removed
}

// A request whose header exceeds the configured limit is refused without being
// sent to an endpoint.
func TestLargeHeaderIsRefused(t *testing.T) {
	is := is.New(t)
	b := newStub(t, "a", signed(200, "x"))
	f := newFixture(t, "plain", b)
	got := f.call(t, "POST", "/read/", func(r *http.Request) {
		for i := range 10 {
			r.Header.Set(fmt.Sprintf("X-Large-%d", i), strings.Repeat("x", 300))
		}
	})
	is.Equal(got.status, http.StatusRequestHeaderFieldsTooLarge)
	is.Equal(b.count(), 0)
}
