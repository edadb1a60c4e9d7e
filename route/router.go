package route

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/view"
	"clementinehead.example/chead/wire"
)

const (
	anchorBlocks = 4                      // index from 1 of the prefix block that selects the home
	loadTTL      = 100 * time.Millisecond // how long a reported load is used
	refusalTTL   = 50 * time.Millisecond  // how long a replica sorts last after it refused a permit
	maxReports   = 4096                   // reports above which expired ones are dropped
	maxLists     = 1024                   // cached lists of usable replicas; the cache is emptied when it is full
	maxReplicas  = 16                     // replicas that Order returns
)

// Options configures a Router.
type Options struct {
	Policy func(Request, []Candidate) // sorts candidates in place; nil means Affinity
}

// Router orders replicas for requests, using the loads that gates report. It is
// safe for concurrent use.
type Router struct {
	policy  func(Request, []Candidate)
	mu      sync.Mutex
	reports map[string]report // latest report by replica id

	unanchored atomic.Uint64 // number of requests without a whole prefix block

	listsView *view.View              // view from which lists was computed
	lists     map[listKey][]Candidate // usable replicas; entries are not modified
}

// report is the load in a gate's latest response for its replica.
type report struct {
	utilization float64 // requests in progress and queued, divided by the limit of permits
	received    time.Time
	refused     bool
}

// New returns a Router without any reported load.
func New(options Options) *Router {
	policy := options.Policy
	if policy == nil {
		policy = Affinity
	}
	return &Router{policy: policy, reports: map[string]report{}}
}

// Order returns the replicas that may serve a model to an account, best first
// and at most maxReplicas. prefix holds the hashes of the prompt's prefix
// blocks, and domain is the failure domain of the entry that routes the request.
// Replicas that are not serving, or that have a member out of service, are
// omitted.
func (r *Router) Order(v *view.View, account, model string, prefix []uint64, domain string) []view.Location {
	candidates := r.candidates(v, account, model, domain)
	r.policy(Request{Anchor: r.anchor(prefix)}, candidates)
	locations := make([]view.Location, min(len(candidates), maxReplicas))
	for i := range locations {
		locations[i] = *candidates[i].Location
	}
	return locations
}

// Observe records the load in a gate's response for a replica.
func (r *Router) Observe(replica string, response *wire.AcquireResponse) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.reports) >= maxReports {
		r.dropExpired(now)
	}
	r.reports[replica] = report{
		utilization: utilization(response),
		received:    now,
		refused:     response.Verdict != wire.Verdict_VERDICT_GRANTED,
	}
}

// utilization returns the requests in progress and queued at a gate, divided by
// its limit, or 0 when the limit is unknown.
func utilization(response *wire.AcquireResponse) float64 {
	if response.Limit == 0 {
		return 0
	}
	return float64(response.Load+response.Queued) / float64(response.Limit)
}

// dropExpired deletes the reports older than loadTTL. The caller holds mu.
func (r *Router) dropExpired(now time.Time) {
	for replica, last := range r.reports {
		if now.Sub(last.received) > loadTTL {
			delete(r.reports, replica)
		}
	}
}

// candidates returns the usable replicas with their reported loads.
func (r *Router) candidates(v *view.View, account, model, domain string) []Candidate {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates := slices.Clone(r.usableReplicas(v, listKey{account, model, domain}))
	for i := range candidates {
		r.addReport(&candidates[i], now)
	}
	return candidates
}

// listKey holds what a list of usable replicas depends on besides the view.
type listKey struct {
	account string
	model   string
	domain  string
}

// usableReplicas returns the usable replicas for a key. Lists are cached until
// the view changes. The caller holds mu and does not modify the list.
func (r *Router) usableReplicas(v *view.View, key listKey) []Candidate {
	if v != r.listsView || len(r.lists) >= maxLists {
		r.listsView = v
		r.lists = map[listKey][]Candidate{}
	}
	list, ok := r.lists[key]
	if !ok {
		list = listUsable(v, key)
		r.lists[key] = list
	}
	return list
}

// listUsable computes the usable replicas for a key.
func listUsable(v *view.View, key listKey) []Candidate {
	region := v.Document.Domains[key.domain].Region
	var list []Candidate
	for _, group := range v.GroupsServing(key.account, key.model) {
		for _, location := range v.Replicas(group) {
			if usable(v, location) {
				list = append(list, Candidate{Location: &location, Tier: tier(v, location.Domain, key.domain, region)})
			}
		}
	}
	return list
}

// addReport adds the reported load of a replica to its candidate, unless the
// report is older than loadTTL. The caller holds mu.
func (r *Router) addReport(c *Candidate, now time.Time) {
	last, ok := r.reports[c.Location.Replica.ID]
	if !ok || now.Sub(last.received) > loadTTL {
		return
	}
	c.LoadKnown = true
	c.Utilization = last.utilization
	c.Refused = last.refused && now.Sub(last.received) <= refusalTTL
}

// usable reports whether a replica is serving and all its members are in
// service.
func usable(v *view.View, location view.Location) bool {
	if location.Replica.State != chart.Serving {
		return false
	}
	return !slices.ContainsFunc(location.Replica.Members, func(m fleet.Member) bool {
		return !v.InService(location.Domain, m.Instance)
	})
}

// tier returns the tier of a failure domain, seen from the domain and region of
// an entry.
func tier(v *view.View, domain, entryDomain, entryRegion string) Tier {
	switch {
	case domain == entryDomain:
		return SameDomain
	case entryRegion != "" && v.Document.Domains[domain].Region == entryRegion:
		return SameRegion
	default:
		return Elsewhere
	}
}

// anchor returns the hash that selects a request's home. A request without a
// whole prefix block gains nothing from a home and gets a different hash each
// time, which spreads such requests.
func (r *Router) anchor(prefix []uint64) uint64 {
	if len(prefix) == 0 {
		return r.unanchored.Add(1)
	}
	return Anchor(prefix)
}

// Anchor returns the hash that selects a request's home. It is the hash of a
// block near the beginning of the prompt, so it stays the same while a
// conversation grows. It is 0 for a prompt without a whole block.
func Anchor(prefix []uint64) uint64 {
	if len(prefix) == 0 {
		return 0
	}
	return prefix[min(len(prefix), anchorBlocks)-1]
}

// byTier compares candidates by tier.
func byTier(a, b Candidate) int { return cmp.Compare(a.Tier, b.Tier) }
