package route

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"clementinehead.example/chead/view"
)

// Tier is the locality of a replica relative to the entry that routes the
// request.
type Tier int

// The tiers, nearest first.
const (
	SameDomain Tier = iota
	SameRegion
	Elsewhere
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Tier -output=tier_string.go

// Request holds the properties of a request that a policy uses.
type Request struct {
	Anchor uint64 // hash that selects the home; see the function Anchor
}

// Candidate is a replica that may serve a request.
type Candidate struct {
	Location    *view.Location
	Tier        Tier
	LoadKnown   bool    // whether Utilization and Refused are known
	Utilization float64 // requests in progress and queued, divided by the limit of permits
	Refused     bool    // whether it has refused a permit within refusalTTL
	rank        uint64  // sort key of Affinity, lowest first
}

// Affinity sorts candidates so that the home of the request's prefix in the
// nearest tier comes first. Replicas known to be at their limit, or to have just
// refused a permit, come after all others. Within each of the two parts, nearer
// tiers come first. Within a tier, overloaded replicas are sorted by load, and
// the others in rendezvous order.
func Affinity(request Request, candidates []Candidate) {
	for i := range candidates {
		c := &candidates[i]
		weight := rendezvousWeight(request.Anchor, c.Location.Replica.ID)
		if c.LoadKnown && (c.Refused || c.Utilization >= 1) {
			c.rank = overloadRank(c.Tier, c.Utilization, weight)
		} else {
			c.rank = affinityRank(c.Tier, weight)
		}
	}
	slices.SortFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.rank, b.rank) })
}

// A rank packs the sort criteria of Affinity into one number, which keeps
// sorting cheap. From the highest bit on it holds: overloaded or not, the tier,
// then the load (of overloaded replicas only) and the inverted rendezvous
// weight.
const (
	overloadBit = 1 << 63
	tierShift   = 61
	loadShift   = 32
	loadUnit    = 1 << 16 // load value of utilization 1
	maxLoad     = 1<<(tierShift-loadShift) - 1
)

// affinityRank returns the rank of a replica that is not overloaded. A higher
// weight sorts first.
func affinityRank(tier Tier, weight uint64) uint64 {
	return uint64(tier)<<tierShift | ^weight>>(64-tierShift)
}

// overloadRank returns the rank of an overloaded replica. A lower load sorts
// first, then a higher weight.
func overloadRank(tier Tier, utilization float64, weight uint64) uint64 {
	load := min(uint64(utilization*loadUnit), maxLoad)
	return overloadBit | uint64(tier)<<tierShift | load<<loadShift | ^weight>>loadShift
}

// LeastLoaded sorts candidates by refusal, tier and known utilization, lowest
// first. It is a baseline that tests compare Affinity with.
func LeastLoaded(_ Request, candidates []Candidate) {
	slices.SortStableFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(
			compareBool(a.Refused, b.Refused),
			byTier(a, b),
			cmp.Compare(a.Utilization, b.Utilization),
		)
	})
}

// Random returns a policy that shuffles the candidates within each tier, nearer
// tiers first. It is a baseline that tests compare Affinity with. The policy is
// not safe for concurrent use.
func Random(random *rand.Rand) func(Request, []Candidate) {
	return func(_ Request, candidates []Candidate) {
		random.Shuffle(len(candidates), func(i, j int) {
			candidates[i], candidates[j] = candidates[j], candidates[i]
		})
		slices.SortStableFunc(candidates, byTier)
	}
}

// rendezvousWeight returns the rendezvous hash of a prefix anchor and a replica
// id.
func rendezvousWeight(anchor uint64, replica string) uint64 {
	var buffer [64]byte
	key := binary.LittleEndian.AppendUint64(buffer[:0], anchor)
	return xxhash.Sum64(append(key, replica...))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
