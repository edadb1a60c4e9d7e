package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/view"
	"clementinehead.example/chead/wire"
)

// Limits on an answer to GET /v1/entries.
const (
	maxEntries   = 16 // addresses
	otherEntries = 4  // of them reserved for other failure domains, so that callers have alternatives when one fails
)

// Entries is the answer to GET /v1/entries: the addresses to connect to, best
// first, and how long callers may use the answer.
type Entries struct {
	Entries []Address     `json:"entries"`
	Hold    conf.Duration `json:"hold"`
}

// Address is the callers' address of one daemon.
type Address struct {
	Address string `json:"address"` // host:port
	Domain  string `json:"domain"`  // failure domain
}

// entries answers GET /v1/entries. A caller may give its failure domain in the
// query parameter domain; the default is the daemon's own.
func (e *Entry) entries(w http.ResponseWriter, r *http.Request) {
	v := e.options.View()
	domain := r.URL.Query().Get("domain")
	if domain == "" {
		domain = e.options.Domain
	}
	validity := time.Duration(v.Document.Limits.Entries)
	e.extendAdvertised(validity)
	answer := Entries{
		Entries: choose(e.byNearness(v, domain)),
		Hold:    conf.Duration(validity),
	}
	setWriteDeadline(w)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "max-age="+seconds(validity))
	_ = json.NewEncoder(w).Encode(answer) // the caller may have disconnected
}

// byNearness returns the addresses of advertisable daemons by rank. Within a
// rank the order is random, so that callers spread evenly.
func (e *Entry) byNearness(v *view.View, domain string) [][]Address {
	region := e.region(domain)
	byRank := make([][]Address, ranks)
	for _, d := range e.options.Daemons() {
		if !e.advertisable(d) {
			continue
		}
		rank := rank(v, d, domain, region)
		byRank[rank] = append(byRank[rank], Address{Address: d.GetCallerAddress(), Domain: d.GetDomain()})
	}
	for _, addresses := range byRank {
		e.shuffle(addresses)
	}
	return byRank
}

// advertisable reports whether callers may be sent to a daemon: it is alive,
// has a callers' address and, if it is this one, is ready and not shutting
// down.
func (e *Entry) advertisable(d *wire.Daemon) bool {
	if d.GetId() == e.options.Self && (e.shuttingDown.Load() || e.ready() != nil) {
		return false
	}
	return d.GetStanding() == wire.Standing_STANDING_ALIVE && d.GetCallerAddress() != ""
}

// ranks is the number of values that rank returns.
const ranks = 4

// rank orders daemons by nearness to the caller: its failure domain, its
// region, the rest, and last the failure domains that operators took out of
// service.
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

// region returns the region of a failure domain, as its daemons give it.
func (e *Entry) region(domain string) string {
	for _, d := range e.options.Daemons() {
		if d.GetDomain() == domain {
			return d.GetRegion()
		}
	}
	return ""
}

// choose returns the best addresses, with some reserved for other failure
// domains. Failure domains out of service are used only where there is nothing
// else.
func choose(byRank [][]Address) []Address {
	chosen := []Address{}
	first := byRank[0]
	if len(first) > maxEntries-otherEntries {
		first = first[:maxEntries-otherEntries]
	}
	chosen = append(chosen, first...)
	for _, addresses := range byRank[1 : ranks-1] {
		chosen = append(chosen, addresses[:min(len(addresses), maxEntries-len(chosen))]...)
	}
	if len(chosen) > 0 {
		return chosen
	}
	last := byRank[ranks-1]
	return append(chosen, last[:min(len(last), maxEntries)]...)
}
