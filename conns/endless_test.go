package conns

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endless returns a script that answers a request with a beginning and then, without end,
// with the same bytes, and counts what it could send until the connection was closed.
func endless(begin, again string, sent *atomic.Int64, ended chan<- struct{}) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		defer close(ended)
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		text := begin
		for {
			n, err := io.WriteString(c, text)
			sent.Add(int64(n))
			if err != nil {
				return
			}
			text = strings.Repeat(again, 1+4096/len(again))
		}
	}
}

// An endpoint whose answer's head never ends must not be read until the deadline: the
// memory of a daemon would go to it.
func TestHeadWithoutEndIsReadOn(t *testing.T) {
	const inSockets = 16 << 20 // bytes that may wait in the sockets of both ends
	for _, c := range []struct{ name, begin, again string }{
		{"no answer at all", "x", "x"},
		{"no answer, in lines", "HTTP/1.1 200 OK\r\nA: b", "x"},
		{"header fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"informational answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			ended := make(chan struct{})
			address, _ := endpoint(t, endless(c.begin, c.again, &sent, ended))
			p := New(Dial)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			conn, err := p.Get(ctx, address, false)
			is.NoErr(err)
			began := time.Now()
			_, err = p.Send(ctx, conn, Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}})
			is.True(err != nil)
			is.True(time.Since(began) < 2*time.Second)
			var failed *Error
			is.True(errors.As(err, &failed) && failed.Kind == Sent) // it may have run
			<-ended                                                 // the connection is closed
			is.True(sent.Load() < inSockets)
		})
	}
}
