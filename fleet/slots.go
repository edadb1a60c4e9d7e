package fleet

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/conf"
)

// fairEvery is the period, in rotations of one Policy.RankPeriod each, at which
// pending loads are ranked by hash alone. Otherwise a highly ranked load that its
// keeper cannot start would block all others.
const fairEvery = 4

// LoadSlots returns how many replicas of each group a fabric domain may start
// to load now. All fabric domains together stay within Capacity.Loads of the
// document, loads in progress included. Keepers with the same values and document
// compute the same result within one rotation.
func (p Policy) LoadSlots(document conf.Document, fabrics map[string]Fabric, share Share, fabric string, now time.Time) map[string]int {
	free := document.Capacity.Loads - countLoading(fabrics)
	slots := map[string]int{}
	for _, pending := range p.rankedLoads(document, fabrics, share, now) {
		if free <= 0 {
			break
		}
		free--
		if pending.fabric == fabric {
			slots[pending.group]++
		}
	}
	return slots
}

// countLoading returns the number of replicas that are loading.
func countLoading(fabrics map[string]Fabric) int {
	count := 0
	for _, fabric := range fabrics {
		for _, replica := range fabric.Replicas {
			count += btoi(replica.State == chart.Loading)
		}
	}
	return count
}

// pendingLoad is a replica that a fabric domain should hold and does not serve
// or load yet.
type pendingLoad struct {
	fabric, group string
	serving       int // serving replicas of the group, in all fabric domains
	priority      int
}

// rankedLoads returns the pending loads in the order in which they get slots:
// groups without a serving replica first, then by priority, then those with the
// fewest serving replicas, then by hash. One of every fairEvery rotations goes by
// hash alone.
func (p Policy) rankedLoads(document conf.Document, fabrics map[string]Fabric, share Share, now time.Time) []pendingLoad {
	rotation := now.UnixNano() / int64(p.RankPeriod)
	loads := pendingLoads(document, fabrics, share)
	slices.SortFunc(loads, func(x, y pendingLoad) int {
		tiebreak := cmp.Compare(x.tiebreak(rotation), y.tiebreak(rotation))
		if rotation%fairEvery == fairEvery-1 {
			return tiebreak
		}
		return cmp.Or(
			cmp.Compare(btoi(x.serving > 0), btoi(y.serving > 0)),
			cmp.Compare(y.priority, x.priority),
			cmp.Compare(x.serving, y.serving),
			tiebreak,
		)
	})
	return loads
}

// tiebreak returns the load's hash, which differs between rotations.
func (l pendingLoad) tiebreak(rotation int64) uint64 {
	return hash(l.fabric, l.group, strconv.FormatInt(rotation, 10))
}

// pendingLoads returns the replicas that the fabric domains lack to reach their
// shares.
func pendingLoads(document conf.Document, fabrics map[string]Fabric, share Share) []pendingLoad {
	var loads []pendingLoad
	for name, groups := range share {
		for group, want := range groups {
			serving := CountServing(document, fabrics, group)
			for range want - servingOrLoading(fabrics[name], group) {
				loads = append(loads, pendingLoad{name, group, serving, document.Groups[group].Priority})
			}
		}
	}
	return loads
}

// servingOrLoading returns the number of replicas of a group that serve or
// load.
func servingOrLoading(fabric Fabric, group string) int {
	count := 0
	for _, replica := range fabric.Replicas {
		if replica.Group == group && (replica.State == chart.Serving || replica.State == chart.Loading) {
			count++
		}
	}
	return count
}

// CountServing returns the number of serving replicas of a group, according to
// the values of their fabric domains. Fabric domains without available
// instances are left out.
func CountServing(document conf.Document, fabrics map[string]Fabric, group string) int {
	count := 0
	for _, fabric := range fabrics {
		if Available(document, fabric) == 0 {
			continue
		}
		for _, replica := range fabric.Replicas {
			count += btoi(replica.Group == group && replica.State == chart.Serving)
		}
	}
	return count
}
