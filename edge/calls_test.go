package edge

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"clementinehead.example/chead/simul"
)

// Each call to the store has a connection of its own. On a kept one, a second answer to an
// earlier call would be taken for that of the next: a term for begun, a copy for fresh.
func TestStoreCallsShareAConnection(t *testing.T) {
	is := is.New(t)
	var calls, connections atomic.Int64
	store := simul.NewStore()
	store.Put(simul.ConfigKey, simul.Config(1))
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		store.ServeHTTP(w, r)
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	s := Settings{
		ID: "d", Domain: "north", Region: "r", Caller: simul.Address(), Ready: simul.Address(), Guide: simul.Address(), Peer: simul.Address(),
		Store: server.Listener.Addr().String(), Revoke: 5000, Apply: 2000, Grace: 2, Ratio: 0.2, Extra: 100, Window: 10,
	}
	daemon := startDaemon(t, s)
	await(t, "the daemon is keeper", 5*time.Second, daemon.keeper.IsKeeper)
	await(t, "it made some calls", 5*time.Second, func() bool { return calls.Load() > 5 })
	is.True(connections.Load() >= calls.Load())
}

// startDaemon runs a daemon until the end of the test.
func startDaemon(t *testing.T, s Settings) *Daemon {
	t.Helper()
	d, err := New(Options{Settings: s, Log: logr.Discard(), Registry: prometheus.NewRegistry()})
	is.New(t).NoErr(err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Run(t.Context())
	}()
	t.Cleanup(func() { <-done })
	return d
}
