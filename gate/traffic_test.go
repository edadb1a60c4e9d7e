package gate

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/wire"
)

// counted is a connection that counts the bytes in both directions.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// countingClient returns a client whose connections count their bytes.
func countingClient(bytes *atomic.Int64) *http.Client {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, network, address)
			return counted{conn, bytes}, err
		},
	}
	return &http.Client{Transport: transport}
}

// TestTrafficCost logs the bytes of a probe and of a permit and the traffic of
// the probes, and checks the bytes of a probe.
func TestTrafficCost(t *testing.T) {
	const (
		rounds        = 100
		members       = 4
		maxProbeBytes = 600 // without those of TCP and IP
	)
	is := is.New(t)
	var bytes atomic.Int64
	client := countingClient(&bytes)
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{"instance":"coast-a-17","boot":1790000000000000000,"fence":4711,` +
			`"replica":"coast-a1-0042","rank":0,"state":"ready","model":"estimator-70b","version":"3",` +
			`"running":12,"waiting":0,"completed":123456,"used":0.8731}`))
	}))
	defer endpoint.Close()
	probes := engine.New(client.Do)
	for range rounds {
		_, err := probes.Probe(t.Context(), endpoint.Listener.Addr().String())
		is.NoErr(err)
	}
	probe := bytes.Swap(0) / rounds
	mux := http.NewServeMux()
	mux.Handle(wire.NewGateHandler(sizedGate(15, 9)))
	gate := httptest.NewServer(mux)
	defer gate.Close()
	peer := wire.NewGateClient(client, gate.URL)
	for range rounds {
		_, err := peer.Acquire(t.Context(), &wire.AcquireRequest{
			Replica: "coast-a1-0042", Daemon: "10.0.0.17:8080", Boot: 1790000000000000000,
			Request: "01J9ZJ0000000000000000000", Account: "harbour", Tokens: 512,
			Prefix: []uint64{1 << 60, 1 << 61, 1 << 62, 1 << 63}, Fingerprint: 1 << 60,
			Wait: durationpb.New(0),
		})
		is.NoErr(err)
	}
	acquire := bytes.Load() / rounds
	perSecond := float64(probe*members) / ProbeEvery.Seconds()
	t.Logf("probe %d B, acquire %d B, probes of one replica %.0f B/s", probe, acquire, perSecond)
	t.Logf("150 gates on 410 daemons: %.0f B/s a daemon on average", perSecond*150/410)
	is.True(probe <= maxProbeBytes)
}
