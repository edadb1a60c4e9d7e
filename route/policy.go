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
	Place   view.Place
	Tier    Tier
	Known   bool    // whether Share and Refused are known
	Share   float64 // in progress and queued, per permit that may be in use
	Refused bool    // refused a permit a moment ago
	weight  uint64
	spill   bool
}

// Affinity puts the home of the request's prefix first, then the next homes in
// rendezvous order. Replicas that refused lately or are loaded above their
// share come after those that did not, and near ones before far ones.
func Affinity(request Request, candidates []Candidate) {
	bound := spillBound(candidates)
	for i := range candidates {
		c := &candidates[i]
		c.weight = weigh(request.Anchor, c.Place.Replica.ID)
		c.spill = c.Known && (c.Refused || c.Share > bound)
	}
	slices.SortFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(
			compareBool(a.spill, b.spill),
			byTier(a, b),
			spilled(a, b),
			cmp.Compare(b.weight, a.weight),
		)
	})
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
// is there for comparison.
func Random(random *rand.Rand) func(Request, []Candidate) {
	return func(_ Request, candidates []Candidate) {
		random.Shuffle(len(candidates), func(i, j int) {
			candidates[i], candidates[j] = candidates[j], candidates[i]
		})
		slices.SortStableFunc(candidates, byTier)
	}
}

// spillBound returns the load above which a home is passed over.
func spillBound(candidates []Candidate) float64 {
	var sum float64
	var known int
	for _, c := range candidates {
		if c.Known {
			sum += c.Share
			known++
		}
	}
	if known == 0 {
		return spillFloor
	}
	return max(spillFloor, spillRatio*sum/float64(known))
}

// spilled compares by load what was passed over.
func spilled(a, b Candidate) int {
	if !a.spill || !b.spill {
		return 0
	}
	return cmp.Compare(a.Share, b.Share)
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
