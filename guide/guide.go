package guide

import (
	"net/http"
	"sort"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
)

const (
	// TTL is how long callers may use an answer.
	TTL          = 2 * time.Second
	maxAddresses = 64
)

// Options configures a Guide.
type Options struct {
	Self    site.Daemon
	Ready   func() bool          // whether this daemon accepts callers
	Offered func() bool          // whether callers should connect to it
	Peers   func() []site.Daemon // other daemons that callers should connect to

	Registry prometheus.Registerer
}

// Guide answers which daemons callers should connect to. Create it with New.
type Guide struct {
	options Options
	known   prometheus.Gauge
	named   prometheus.Gauge
}

// New returns a Guide.
func New(o Options) *Guide {
	g := &Guide{
		options: o,
		known:   prometheus.NewGauge(prometheus.GaugeOpts{Name: "chead_guide_known", Help: "Daemons that callers should connect to, at the latest answer."}),
		named:   prometheus.NewGauge(prometheus.GaugeOpts{Name: "chead_guide_named", Help: "Daemons that the latest answer named."}),
	}
	o.Registry.MustRegister(g.known, g.named)
	return g
}

// Resolve answers a caller with the addresses of the ready daemons, or with status
// 503 if it knows of none.
func (g *Guide) Resolve(w http.ResponseWriter, _ *http.Request) {
	addresses := g.addresses()
	if len(addresses) == 0 {
		http.Error(w, "no daemon is ready", http.StatusServiceUnavailable)
		return
	}
	platform.WriteAddresses(w, addresses, TTL)
}

// addresses returns the callers' addresses of at most maxAddresses ready daemons,
// sorted.
func (g *Guide) addresses() []string {
	var addresses []string
	if g.options.Offered() {
		addresses = append(addresses, g.options.Self.Caller)
	}
	for _, d := range g.options.Peers() {
		addresses = append(addresses, d.Caller)
	}
	sort.Strings(addresses)
	g.known.Set(float64(len(addresses)))
	if len(addresses) > maxAddresses {
		addresses = addresses[:maxAddresses]
	}
	g.named.Set(float64(len(addresses)))
	return addresses
}

// Readiness answers the platform's readiness checks, with status 503 if this daemon
// is not ready.
func (g *Guide) Readiness(w http.ResponseWriter, _ *http.Request) {
	if !g.options.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
