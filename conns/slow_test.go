package conns

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// An endpoint may read a request's body slowly, also not at all for some seconds. The request
// must not be broken off before its deadline for that.
func TestEndpointReadsBodySlowly(t *testing.T) {
	is := is.New(t)
	const size = 24 << 20 // more than the sockets hold
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		time.Sleep(2 * userTimeout)
		if n, _ := io.CopyN(io.Discard, c, size); n == size {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	p := New(Dial)
	c, err := p.Get(ctx, listener.Addr().String(), true)
	is.NoErr(err)
	response, err := p.Send(ctx, c, Request{Method: http.MethodPost, Target: "/", Host: "x", Header: http.Header{}, Body: bytes.Repeat([]byte("x"), size)})
	is.NoErr(err)
	response.Close()
}

// A host that answers no packet must be told from an endpoint that takes nothing.
func TestSilentHostIsToldFromSlowEndpoint(t *testing.T) {
	long, short := uint32(userTimeout.Milliseconds()), uint32(10)
	for name, c := range map[string]struct {
		info   unix.TCPInfo
		silent bool
	}{
		"takes nothing, answered probes":  {unix.TCPInfo{Last_ack_recv: long}, false},
		"takes nothing, answers a probe":  {unix.TCPInfo{Probes: 1, Last_ack_recv: short}, false},
		"answers no probe":                {unix.TCPInfo{Probes: 2, Last_ack_recv: long}, true},
		"answers no packet":               {unix.TCPInfo{Retransmits: 3, Last_ack_recv: long}, true},
		"lost a packet, answers the next": {unix.TCPInfo{Retransmits: 1, Last_ack_recv: short}, false},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(unanswered(&c.info), c.silent) })
	}
}
