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

// TestOverhead measures what a call costs beside its messages on a real
// connection, by which the cluster counts.
func TestOverhead(t *testing.T) {
	is := is.New(t)
	var sent, received atomic.Int64
	r := roster.New(roster.Options{Self: &wire.Daemon{Id: "d000"}, Log: logr.Discard()})
	mux := http.NewServeMux()
	mux.Handle(wire.NewRosterHandler(r))
	server := httptest.NewServer(mux)
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return counted{c, &sent, &received}, err
		},
	}}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	request := &wire.BeatRequest{From: &wire.Daemon{Id: "d001", Standing: wire.Standing_STANDING_ALIVE}}
	response, err := wire.NewRosterClient(client, server.URL).Beat(ctx, request)
	is.NoErr(err)
	there := sent.Load() - int64(proto.Size(request))
	back := received.Load() - int64(proto.Size(response))
	t.Logf("overhead of a call: %d bytes there, %d back", there, back)
	is.True(there <= requestOverhead)
	is.True(back <= responseOverhead)
}

// counted is a connection that counts its bytes.
type counted struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c counted) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.sent.Add(int64(n))
	return n, err
}

func (c counted) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.received.Add(int64(n))
	return n, err
}
