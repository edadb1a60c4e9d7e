package route

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/view"
	"clementinehead.example/chead/wire"
)

const (
	anchorBlocks = 4               // prefix blocks that decide a request's home
	loadLife     = 3 * time.Second // how long a gate's word on its load counts
	refusedLife  = time.Second     // how long a replica that refused is tried last
	spillRatio   = 1.25            // load above the mean of the known at which a home is passed over
	spillFloor   = 0.75            // load below which no home is passed over
	maxKnown     = 4096            // replicas whose load is remembered
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
}

// load is what a gate last said of its replica.
type load struct {
	share   float64 // in progress and queued, per permit that may be in use
	at      time.Time
	refused bool
}

// Try is one replica to ask for a permit, and the longest wait to ask it for.
type Try struct {
	Place view.Place
	Wait  time.Duration
}

// New returns a Router that knows of no load.
func New(options Options) *Router {
	policy := options.Policy
	if policy == nil {
		policy = Affinity
	}
	return &Router{policy: policy, known: map[string]load{}}
}

// Order returns the replicas that may serve a model to an account, the best
// first. Prefix holds the hashes of the prompt's prefix blocks, and domain is
// the failure domain of the asking entry. Replicas that do not serve, or of
// which a member is taken out of service, are left out.
func (r *Router) Order(v *view.View, account, model string, prefix []uint64, domain string) []view.Place {
	candidates := r.candidates(v, account, model, domain)
	r.policy(Request{Anchor: Anchor(prefix)}, candidates)
	places := make([]view.Place, len(candidates))
	for i, candidate := range candidates {
		places[i] = candidate.Place
	}
	return places
}

// Plan returns the attempts for one request that may wait at most left for a
// permit: every replica once for a permit that is free at once, and then the
// first one again with the whole wait.
func (r *Router) Plan(v *view.View, account, model string, prefix []uint64, domain string, left time.Duration) []Try {
	places := r.Order(v, account, model, prefix, domain)
	if len(places) == 0 {
		return nil
	}
	tries := make([]Try, 0, len(places)+1)
	for _, place := range places {
		tries = append(tries, Try{Place: place})
	}
	return append(tries, Try{Place: places[0], Wait: left})
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

func (r *Router) candidates(v *view.View, account, model, domain string) []Candidate {
	region := v.Document.Domains[domain].Region
	now := time.Now()
	var candidates []Candidate
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, group := range v.Offers(account, model) {
		for _, place := range v.Replicas(group) {
			if !usable(v, place) {
				continue
			}
			candidates = append(candidates, Candidate{
				Place: place,
				Tier:  tier(v, place.Domain, domain, region),
			})
			r.fill(&candidates[len(candidates)-1], now)
		}
	}
	return candidates
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
