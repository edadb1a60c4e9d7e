package roster_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"clementinehead.example/chead/roster"
	"clementinehead.example/chead/wire"
)

// TestOverhead measures the bytes that a heartbeat takes on an established
// connection besides its messages, over HTTP/1.1 and HTTP/2. The constants
// requestOverhead and responseOverhead, with which the simulated cluster counts,
// must not be smaller than either.
func TestOverhead(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/2"} {
		t.Run(version, func(t *testing.T) {
			is := is.New(t)
			var protocols http.Protocols
			protocols.SetHTTP1(version == "HTTP/1.1")
			protocols.SetUnencryptedHTTP2(version == "HTTP/2")
			requestBytes, responseBytes := measureOverhead(t, &protocols)
			t.Logf("overhead of a heartbeat over %s: %d bytes there, %d back", version, requestBytes, responseBytes)
			is.True(requestBytes <= requestOverhead)
			is.True(responseBytes <= responseOverhead)
		})
	}
}

func measureOverhead(t *testing.T, protocols *http.Protocols) (requestBytes, responseBytes int64) {
	const calls = 20
	is := is.New(t)
	r := roster.New(roster.Options{Self: &wire.Daemon{Id: "d000"}, Log: logr.Discard()})
	mux := http.NewServeMux()
	mux.Handle(r.Handler())
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = protocols
	server.Start()
	defer server.Close()
	var sent, received atomic.Int64
	transport := &http.Transport{
		Protocols: protocols,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return countingConn{c, &sent, &received}, err
		},
	}
	defer transport.CloseIdleConnections()
	client := roster.Dial(&http.Client{Transport: transport}, server.Listener.Addr().String())
	request := &wire.BeatRequest{From: &wire.Daemon{Id: "d001", Standing: wire.Standing_STANDING_ALIVE}}
	for i := range 1 + calls {
		if i == 1 { // the first call opened the connection
			sent.Store(0)
			received.Store(0)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		response, err := client.Beat(ctx, request)
		cancel()
		is.NoErr(err)
		requestBytes -= int64(proto.Size(request))
		responseBytes -= int64(proto.Size(response))
		if i == 0 {
			requestBytes, responseBytes = 0, 0
		}
	}
	return (requestBytes + sent.Load()) / calls, (responseBytes + received.Load()) / calls
}

// countingConn is a connection that counts the bytes sent and received.
type countingConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.sent.Add(int64(n))
	return n, err
}

func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.received.Add(int64(n))
	return n, err
}
