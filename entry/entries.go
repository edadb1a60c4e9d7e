package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/view"
	"clementinehead.example/chead/wire"
)

// The most addresses in an answer to GET /v1/entries, and how many of them
// are kept for other failure domains, so that callers have where to go when
// one goes dark.
const (
	maxEntries = 16
	farEntries = 4
)

// Entries is the answer to GET /v1/entries: the addresses to connect to, best
// first, and how long the answer holds.
type Entries struct {
	Entries []Address     `json:"entries"`
	Hold    conf.Duration `json:"hold"`
}

// Address is the callers' address of one daemon.
type Address struct {
	Address string `json:"address"` // host:port
	Domain  string `json:"domain"`  // failure domain
}

// entries answers GET /v1/entries. A caller may name its failure domain by the
// query parameter domain; the daemon's own stands in where it doesn't.
func (e *Entry) entries(w http.ResponseWriter, r *http.Request) {
	v := e.options.View()
	domain := r.URL.Query().Get("domain")
	if domain == "" {
		domain = e.options.Domain
	}
	hold := time.Duration(v.Document.Limits.Entries)
	e.hold(hold)
	answer := Entries{
		Entries: pick(e.sorted(v, domain)),
		Hold:    conf.Duration(hold),
	}
	writable(w)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "max-age="+seconds(hold))
	_ = json.NewEncoder(w).Encode(answer) // nobody is left to tell
}

// sorted returns the daemons that may be named: nearest failure domain first,
// and in random order within, so that callers spread evenly.
func (e *Entry) sorted(v *view.View, domain string) [][]Address {
	region := e.region(domain)
	near := make([][]Address, ranks)
	for _, d := range e.options.Daemons() {
		if !e.named(d) {
			continue
		}
		rank := rank(v, d, domain, region)
		near[rank] = append(near[rank], Address{Address: d.GetCallerAddress(), Domain: d.GetDomain()})
	}
	for _, addresses := range near {
		e.shuffle(addresses)
	}
	return near
}

// named reports whether callers may be sent to a daemon.
func (e *Entry) named(d *wire.Daemon) bool {
	if d.GetId() == e.options.Self && (e.leaving.Load() || e.ready() != nil) {
		return false
	}
	return d.GetStanding() == wire.Standing_STANDING_ALIVE && d.GetCallerAddress() != ""
}

// ranks is the number of values of rank.
const ranks = 4

// rank orders daemons by nearness: the caller's failure domain, its region,
// the rest, and last the failure domains that operators have taken out.
func rank(v *view.View, d *wire.Daemon, domain, region string) int {
	switch {
	case v.Document.Domains[d.GetDomain()].Out:
		return 3
	case d.GetDomain() == domain:
		return 0
	case d.GetRegion() == region:
		return 1
	default:
		return 2
	}
}

// region returns the region that a failure domain's daemons name.
func (e *Entry) region(domain string) string {
	for _, d := range e.options.Daemons() {
		if d.GetDomain() == domain {
			return d.GetRegion()
		}
	}
	return ""
}

// pick takes the best addresses and keeps some places for those further away.
func pick(near [][]Address) []Address {
	picked := []Address{}
	first := near[0]
	if len(first) > maxEntries-farEntries {
		first = first[:maxEntries-farEntries]
	}
	picked = append(picked, first...)
	for _, addresses := range near[1 : ranks-1] {
		picked = append(picked, addresses[:min(len(addresses), maxEntries-len(picked))]...)
	}
	if len(picked) > 0 {
		return picked
	}
	last := near[ranks-1]
	return append(picked, last[:min(len(last), maxEntries)]...)
}
