package guide

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"clementinehead.example/chead/site"
)

func TestResolve(t *testing.T) {
	peers := []site.Daemon{{Caller: "b:1"}, {Caller: "c:1"}}
	for _, c := range []struct {
		name   string
		ready  bool
		cut    bool // callers should connect to others, though it is ready
		peers  []site.Daemon
		status int
		body   string
	}{
		{"all", true, false, peers, 200, `{"addresses":["a:1","b:1","c:1"],"ttl_s":2}`},
		{"others only", false, false, peers, 200, `{"addresses":["b:1","c:1"],"ttl_s":2}`},
		{"ready, not offered", true, true, peers, 200, `{"addresses":["b:1","c:1"],"ttl_s":2}`},
		{"alone", true, false, nil, 200, `{"addresses":["a:1"],"ttl_s":2}`},
		{"nobody", false, false, nil, 503, "no daemon is ready\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := New(Options{
				Self: site.Daemon{Caller: "a:1"}, Ready: func() bool { return c.ready }, Offered: func() bool { return c.ready && !c.cut },
				Peers: func() []site.Daemon { return c.peers }, Registry: prometheus.NewRegistry(),
			})
			w := httptest.NewRecorder()
			g.Resolve(w, httptest.NewRequest(http.MethodGet, "/api/resolve?name=h", nil))
			is.Equal(w.Code, c.status)
			is.Equal(w.Body.String(), c.body)
			w = httptest.NewRecorder()
			g.Readiness(w, httptest.NewRequest(http.MethodGet, "/api/readyz", nil))
			is.Equal(w.Code == http.StatusOK, c.ready)
		})
	}
}
