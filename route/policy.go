package route

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"clementinehead.example/chead/view"
)

// Tier is the distance of a replica from the asking entry.
type Tier int

// The tiers, the nearest first.
const (
	SameDomain Tier = iota
	SameRegion
	Elsewhere
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Tier -output=tier_string.go

// Request is what a policy looks at of a request.
type Request struct {
	Anchor uint64 // see the function Anchor
}

// Candidate is a replica that may serve a request.
type Candidate struct {
	Place   *view.Place
	Tier    Tier
	Known   bool    // whether Share and Refused are known
	Share   float64 // in progress and queued, per permit that may be in use
	Refused bool    // refused a permit a moment ago
	rank    uint64  // of Affinity, the lowest first
}

// Affinity puts the home of the request's prefix first, then the next homes in
// rendezvous order. Replicas that a moment ago refused or were full come after
// those that did not, and near ones before far ones.
func Affinity(request Request, candidates []Candidate) {
	for i := range candidates {
		c := &candidates[i]
		weight := weigh(request.Anchor, c.Place.Replica.ID)
		if c.Known && (c.Refused || c.Share >= 1) {
			c.rank = spilledRank(c.Tier, c.Share, weight)
		} else {
			c.rank = homeRank(c.Tier, weight)
		}
	}
	slices.SortFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.rank, b.rank) })
}

// A rank is one number, so that sorting is cheap: from the highest bit on,
// whether the replica is passed over, its tier, and then its load and weight.
const (
	spillBit   = 1 << 63
	tierShift  = 61
	shareShift = 32
	shareUnit  = 1 << 16 // parts in which a load is counted
	shareMost  = 1<<(tierShift-shareShift) - 1
)

// homeRank ranks a replica that is not passed over: a high weight goes first.
func homeRank(tier Tier, weight uint64) uint64 {
	return uint64(tier)<<tierShift | ^weight>>(64-tierShift)
}

// spilledRank ranks one that is passed over: a low load goes first.
func spilledRank(tier Tier, share float64, weight uint64) uint64 {
	load := min(uint64(share*shareUnit), shareMost)
	return spillBit | uint64(tier)<<tierShift | load<<shareShift | ^weight>>shareShift
}

// LeastLoaded puts the replica with the lowest known load first, near ones
// before far ones. It is there for comparison.
func LeastLoaded(_ Request, candidates []Candidate) {
	slices.SortStableFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(
			compareBool(a.Refused, b.Refused),
			byTier(a, b),
			cmp.Compare(a.Share, b.Share),
		)
	})
}

// Random returns a policy that shuffles the near ones before the far ones. It
// is there for comparison, and not safe for concurrent use.
func Random(random *rand.Rand) func(Request, []Candidate) {
	return func(_ Request, candidates []Candidate) {
		random.Shuffle(len(candidates), func(i, j int) {
			candidates[i], candidates[j] = candidates[j], candidates[i]
		})
		slices.SortStableFunc(candidates, byTier)
	}
}

// weigh is the rendezvous weight of a replica for a prefix.
func weigh(anchor uint64, replica string) uint64 {
	var buffer [64]byte
	key := binary.LittleEndian.AppendUint64(buffer[:0], anchor)
	return xxhash.Sum64(append(key, replica...))
}

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
