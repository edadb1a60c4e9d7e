package guide

import (
	"cmp"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"

	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
)

const (
	// TTL is how long callers may use an answer.
	TTL          = 2 * time.Second
	maxAddresses = 64 // that an answer may name
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

// Resolve answers a caller with the addresses of ready daemons, or with status 503 if it
// knows of none.
func (g *Guide) Resolve(w http.ResponseWriter, r *http.Request) {
	daemons := g.daemons()
	if len(daemons) == 0 {
		http.Error(w, "no daemon is ready", http.StatusServiceUnavailable)
		return
	}
	named := choose(daemons, hostOf(r.RemoteAddr), platform.ParseResolveRequest(r).Region)
	g.known.Set(float64(len(daemons)))
	g.named.Set(float64(len(named)))
	platform.WriteAddresses(w, named, TTL)
}

// daemons returns the daemons that callers should connect to.
func (g *Guide) daemons() []site.Daemon {
	daemons := slices.Clone(g.options.Peers())
	if g.options.Offered() {
		daemons = append(daemons, g.options.Self)
	}
	return daemons
}

// choose returns the callers' addresses of at most maxAddresses daemons, sorted. Of more it
// chooses those of the caller's region first, and among these by rendezvous hashing (Thaler
// and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998) with the caller's
// host: so callers use all daemons evenly, and one caller gets the same ones from each daemon
// and in each answer, as it closes its connections to those that an answer leaves out.
func choose(daemons []site.Daemon, caller, region string) []string {
	candidates := make([]candidate, len(daemons))
	for i, d := range daemons {
		candidates[i] = candidate{address: d.Caller, far: d.Region != region}
	}
	if len(candidates) > maxAddresses {
		for i := range candidates {
			candidates[i].weight = xxhash.Sum64String(caller + " " + candidates[i].address)
		}
		slices.SortFunc(candidates, candidate.compare)
		candidates = candidates[:maxAddresses]
	}
	addresses := make([]string, len(candidates))
	for i, c := range candidates {
		addresses[i] = c.address
	}
	slices.Sort(addresses)
	return addresses
}

// candidate is a daemon that may be named to a caller.
type candidate struct {
	address string
	far     bool   // in another region than the caller
	weight  uint64 // rendezvous hash of the caller and the daemon
}

// compare orders the daemons to be named first before others.
func (c candidate) compare(other candidate) int {
	switch {
	case c.far && !other.far:
		return 1
	case other.far && !c.far:
		return -1
	}
	return cmp.Compare(other.weight, c.weight)
}

// hostOf returns an address without its port.
func hostOf(address string) string {
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
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
