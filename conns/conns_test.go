package conns

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endpoint starts an endpoint that runs script on each connection. The function
// opened returns the number of connections accepted so far.
func endpoint(t *testing.T, script func(net.Conn, *bufio.Reader)) (address string, opened func() int) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	counts := make(chan int, 100) // holds one value per accepted connection; its length is the count
	go func() {
		for n := 1; ; n++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			counts <- n
			go func() {
				defer func() { _ = c.Close() }()
				script(c, bufio.NewReader(c))
			}()
		}
	}()
	return listener.Addr().String(), func() int { return len(counts) }
}

const smallResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// respondWith returns a script that sends text in response to every request on a
// connection.
func respondWith(text string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}
}

// send sends a POST request to an address and returns the body of the response.
func send(p *Pool, address string, body string) (string, error) {
	c, err := p.Get(context.Background(), address, false) // false: an idle connection may be reused
	if err != nil {
		return "", err
	}
	response, err := p.Send(context.Background(), c, Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}, Body: []byte(body)})
	if err != nil {
		return "", err
	}
	defer response.Close()
	data, err := response.ReadAll(1 << 20)
	return string(data), err
}

// A connection is reused only if the endpoint allows it and nothing is left
// unread on it.
func TestConnectionReuse(t *testing.T) {
	for _, c := range []struct {
		name     string
		response string
		opened   int
	}{
		{"complete responses", smallResponse, 1},
		{"the endpoint closes the connection", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 3},
		{"keep-alive timeout of zero", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", 3},
		{"unread bytes", smallResponse + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address, opened := endpoint(t, respondWith(c.response))
			p := New(Dial)
			for range 3 {
				got, err := send(p, address, "b")
				is.NoErr(err)
				is.Equal(got, "ok")
			}
			is.Equal(opened(), c.opened)
		})
	}
}

// Bytes that arrive on an idle connection belong to no request: the connection
// must not be reused.
func TestLateBytes(t *testing.T) {
	is := is.New(t)
	wrote := make(chan struct{}, 9)
	address, opened := endpoint(t, func(c net.Conn, r *bufio.Reader) {
		respondWith(smallResponse)(lateConn{c, wrote}, r)
	})
	p := New(Dial)
	for range 2 {
		got, err := send(p, address, "b")
		is.NoErr(err)
		is.Equal(got, "ok")
		<-wrote
	}
	is.Equal(opened(), 2)
}

// lateConn writes a second response 20 ms after each write.
type lateConn struct {
	net.Conn
	wrote chan struct{}
}

func (c lateConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	go func() {
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(c.Conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
		c.wrote <- struct{}{}
	}()
	return n, err
}

// An endpoint may respond before it has read the whole of a long body. The
// connection must not be reused then, since the endpoint would take the next
// request for the rest of that body. Here the endpoint responds 200 ms before it
// reads, and the body of 8 MiB is meant to exceed what the sockets buffer meanwhile.
func TestEarlyResponse(t *testing.T) {
	is := is.New(t)
	address, opened := endpoint(t, func(c net.Conn, _ *bufio.Reader) {
		_, _ = io.WriteString(c, smallResponse)
		time.Sleep(200 * time.Millisecond)
		_, _ = io.Copy(io.Discard, c)
	})
	p := New(Dial)
	for range 2 {
		got, err := send(p, address, strings.Repeat("x", 8<<20))
		is.NoErr(err)
		is.Equal(got, "ok")
	}
	is.Equal(opened(), 2)
}

// The error of a failed dial is of kind Unsent: the request has not run. If the
// endpoint closes the connection without a response, the kind is Sent: the request
// may have run.
func TestErrors(t *testing.T) {
	is := is.New(t)
	p := New(func(context.Context, string) (net.Conn, error) { return nil, errors.New("refused") })
	_, err := send(p, "nowhere", "")
	var failed *Error
	is.True(errors.As(err, &failed))
	is.Equal(failed.Kind, Unsent)
	address, _ := endpoint(t, func(c net.Conn, r *bufio.Reader) { _, _ = http.ReadRequest(r); _ = c })
	_, err = send(New(Dial), address, "")
	is.True(errors.As(err, &failed))
	is.Equal(failed.Kind, Sent)
}
