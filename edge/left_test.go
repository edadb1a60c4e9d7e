package edge

import (
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// plainEndpoint starts a plain endpoint in a failure domain, with headers for each of its
// responses, and returns the count of the requests that came.
func (c *cluster) plainEndpoint(id, domain string, h http.Header) *atomic.Int64 {
	var came atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/healthz" {
			came.Add(1)
		}
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Server-Signature", "s")
		maps.Copy(w.Header(), h)
		_, _ = w.Write([]byte("done by " + id))
	}))
	c.servers[id] = server
	c.store.Put("servers/"+id, fmt.Appendf(nil, `{"service":"plain","address":%q,"zone":%q,"version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"born":7,"sequence":1}`, server.Listener.Addr().String(), domain))
	return &came
}

// burst sends as many requests at once to a daemon as reach all endpoints, and returns how
// many were served.
func (c *cluster) burst(daemon int) int {
	var calls sync.WaitGroup
	var served atomic.Int64
	for range 12 {
		id := c.nextID()
		calls.Go(func() {
			if status, _ := c.call(c.daemons[daemon].Caller, "/file/", id, "good-key"); status == http.StatusOK {
				served.Add(1)
			}
		})
	}
	calls.Wait()
	return int(served.Load())
}

// An endpoint told a daemon that it leaves. A daemon that starts afterwards must not use it
// again: the others tell it before it takes requests.
func TestEndpointThatLeavesIsUsedByANewDaemon(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for some seconds")
	}
	is := is.New(t)
	c := newCluster(t, 0, 2)
	came := c.plainEndpoint("p1", "north", http.Header{"Server-Leaving": {"1"}}) // its entry in the store doesn't say so
	await(t, "it has told a daemon", 10*time.Second, func() bool {
		c.burst(0)
		return came.Load() > 0
	})
	await(t, "the other one has heard of it", 5*time.Second, func() bool {
		e := c.started[1].watcher.Snapshot().Endpoints["p1"]
		return e.ID != "" && c.started[1].placer.Leaving(e)
	})
	before := came.Load()
	for i := range 3 {
		c.startDaemon(t, 2+i)
		began := time.Now()
		served := 0
		for time.Since(began) < 900*time.Millisecond {
			served += c.burst(2 + i)
		}
		is.True(served > 0)
	}
	is.Equal(came.Load(), before)
}
