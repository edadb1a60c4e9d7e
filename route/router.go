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
	anchorBlocks = 4                      // prefix blocks that decide a request's home
	loadLife     = 100 * time.Millisecond // how long a gate's word on its load counts
	refusedLife  = 50 * time.Millisecond  // how long a replica that refused is tried last
	maxKnown     = 4096                   // replicas whose load is remembered
	maxOffers    = 1024                   // lists of usable replicas that are kept
	maxOrder     = 16                     // replicas that Order returns
)

// Options are what a Router depends on.
type Options struct {
	Policy func(Request, []Candidate) // sorts candidates in place; nil for Affinity
}

// Router orders replicas and learns from the gates' answers. It is safe for
// concurrent use.
type Router struct {
	policy func(Request, []Candidate)
	mu     sync.Mutex
	known  map[string]load

	homeless atomic.Uint64 // requests without a prefix

	seen   *view.View // that offers were made of
	offers map[offer][]Candidate
}

// load is what a gate last said of its replica.
type load struct {
	share   float64 // in progress and queued, per permit that may be in use
	at      time.Time
	refused bool
}

// New returns a Router that knows of no load.
func New(options Options) *Router {
	policy := options.Policy
	if policy == nil {
		policy = Affinity
	}
	return &Router{policy: policy, known: map[string]load{}}
}

// Order returns replicas that may serve a model to an account, the best first
// and at most maxOrder of them. Prefix holds the hashes of the prompt's prefix blocks, and domain is
// the failure domain of the asking entry. Replicas that do not serve, or of
// which a member is taken out of service, are left out.
func (r *Router) Order(v *view.View, account, model string, prefix []uint64, domain string) []view.Place {
	candidates := r.candidates(v, account, model, domain)
	r.policy(Request{Anchor: r.anchor(prefix)}, candidates)
	places := make([]view.Place, min(len(candidates), maxOrder))
	for i := range places {
		places[i] = *candidates[i].Place
	}
	return places
}

// Observe learns from a gate's answer for a replica.
func (r *Router) Observe(replica string, response *wire.AcquireResponse) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.known) >= maxKnown {
		r.forget(now)
	}
	r.known[replica] = load{
		share:   share(response),
		at:      now,
		refused: response.Verdict != wire.Verdict_VERDICT_GRANTED,
	}
}

func share(response *wire.AcquireResponse) float64 {
	if response.Limit == 0 {
		return 0
	}
	return float64(response.Load+response.Queued) / float64(response.Limit)
}

func (r *Router) forget(now time.Time) {
	for replica, known := range r.known {
		if now.Sub(known.at) > loadLife {
			delete(r.known, replica)
		}
	}
}

// candidates returns the usable replicas with what is known of their loads.
func (r *Router) candidates(v *view.View, account, model, domain string) []Candidate {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates := slices.Clone(r.offer(v, offer{account, model, domain}))
	for i := range candidates {
		r.fill(&candidates[i], now)
	}
	return candidates
}

// offer is what a list of replicas depends on besides the view.
type offer struct {
	account string
	model   string
	domain  string
}

// offer returns the usable replicas for an offer. The lists are kept while the
// view stays the same.
func (r *Router) offer(v *view.View, o offer) []Candidate {
	if v != r.seen || len(r.offers) >= maxOffers {
		r.seen = v
		r.offers = map[offer][]Candidate{}
	}
	list, ok := r.offers[o]
	if !ok {
		list = usableOf(v, o)
		r.offers[o] = list
	}
	return list
}

func usableOf(v *view.View, o offer) []Candidate {
	region := v.Document.Domains[o.domain].Region
	var list []Candidate
	for _, group := range v.Offers(o.account, o.model) {
		for _, place := range v.Replicas(group) {
			if usable(v, place) {
				list = append(list, Candidate{Place: &place, Tier: tier(v, place.Domain, o.domain, region)})
			}
		}
	}
	return list
}

// fill adds to a candidate what is known of its load.
func (r *Router) fill(c *Candidate, now time.Time) {
	known, ok := r.known[c.Place.Replica.ID]
	if !ok || now.Sub(known.at) > loadLife {
		return
	}
	c.Known = true
	c.Share = known.share
	c.Refused = known.refused && now.Sub(known.at) <= refusedLife
}

func usable(v *view.View, place view.Place) bool {
	if place.Replica.State != chart.Serving {
		return false
	}
	return !slices.ContainsFunc(place.Replica.Members, func(m fleet.Member) bool {
		return !v.InService(place.Domain, m.Instance)
	})
}

func tier(v *view.View, domain, near, region string) Tier {
	switch {
	case domain == near:
		return SameDomain
	case region != "" && v.Document.Domains[domain].Region == region:
		return SameRegion
	default:
		return Elsewhere
	}
}

// anchor returns the hash that decides a request's home. One without a whole
// block has no use for a home and gets another each time.
func (r *Router) anchor(prefix []uint64) uint64 {
	if len(prefix) == 0 {
		return r.homeless.Add(1)
	}
	return Anchor(prefix)
}

// Anchor returns the hash that decides a request's home: that of a block near
// the prompt's beginning, so that it stays the same while a conversation
// grows. It is 0 for a prompt without a whole block.
func Anchor(prefix []uint64) uint64 {
	if len(prefix) == 0 {
		return 0
	}
	return prefix[min(len(prefix), anchorBlocks)-1]
}

// byTier compares candidates by distance.
func byTier(a, b Candidate) int { return cmp.Compare(a.Tier, b.Tier) }
