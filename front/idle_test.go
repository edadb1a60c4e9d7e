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

// Connections are closed by the limits in force when they fall idle, and no
// sooner; one that is in use is not.
func TestIdleConnections(t *testing.T) {
	is := is.New(t)
	limits := site.Limits{HeaderTime: 100 * time.Millisecond, Idle: 300 * time.Millisecond}
	idle := NewIdle(func() site.Limits { return limits })
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(400 * time.Millisecond)
		_, _ = io.WriteString(w, "done")
	}))
	server.Config.ConnState = idle.State
	server.Start()
	defer server.Close()

	lasts := func(send string, requests int) time.Duration {
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
	whole := "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	is.True(lasts("GET / HTTP/1.1\r\nHo", 0) < 300*time.Millisecond)
	took := lasts(whole+whole, 2)
	is.True(took > 280*time.Millisecond && took < 600*time.Millisecond)
	idle.mu.Lock()
	defer idle.mu.Unlock()
	is.True(len(idle.timers) <= 2) // those that were closed are forgotten
}

// A header beyond the configuration's limit is refused, and nothing is sent.
func TestLargeHeader(t *testing.T) {
	is := is.New(t)
	b := newStub(t, "a", whole(200, "x"))
	w := newWorld(t, "plain", b)
	got := w.call(t, "POST", "/read/", func(r *http.Request) {
		for i := range 10 {
			r.Header.Set(fmt.Sprintf("X-Large-%d", i), strings.Repeat("x", 300))
		}
	})
	is.Equal(got.status, http.StatusRequestHeaderFieldsTooLarge)
	is.Equal(b.count(), 0)
}
