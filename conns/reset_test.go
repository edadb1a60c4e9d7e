package conns

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A connection that was reset before the request was written tells the write, and then ends
// for the read as after a whole answer. What the endpoint sent before belongs to no request
// unless its end is marked.
func TestResetIsToldToTheWrite(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		served       bool
	}{
		{"without a length", "HTTP/1.1 200 OK\r\n\r\nok", false},
		{"with a length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			opened, ended := make(chan struct{}), make(chan struct{})
			address, _ := endpoint(t, func(conn net.Conn, _ *bufio.Reader) {
				defer close(ended)
				<-opened
				_, _ = conn.Write([]byte(c.answer))
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			})
			p := New(Dial)
			conn, err := p.Get(t.Context(), address, true)
			is.NoErr(err)
			close(opened)
			<-ended
			time.Sleep(20 * time.Millisecond) // the reset arrives
			response, err := p.Send(t.Context(), conn, Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}})
			is.NoErr(err)
			defer response.Close()
			body, err := response.ReadAll(1 << 20)
			is.Equal(err == nil, c.served)
			is.True(!c.served || string(body) == "ok")
		})
	}
}
