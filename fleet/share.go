package fleet

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/conf"
)

// Share is the number of replicas that each fabric domain should hold, by
// fabric domain and group.
type Share map[string]map[string]int

// Total returns how many replicas of a group all fabric domains together should
// hold.
func (s Share) Total(group string) int {
	total := 0
	for _, groups := range s {
		total += groups[group]
	}
	return total
}

// Apportion distributes the wanted replicas over the fabric domains. Every
// keeper computes the same result from the document and the values of all
// fabric domains, and applies only its own part. Existing replicas stay in
// their fabric domains if the document allows it. Groups of higher priority are
// served first. But the last replica of a group is not given up for a second
// one of another group, as long as all groups of higher priority have one.
func Apportion(document conf.Document, fabrics map[string]Fabric) Share {
	a := newApportionment(document, fabrics)
	names := byPriority(document)
	for _, name := range names {
		if !a.reserveFirst(name, document.Groups[name]) {
			break
		}
	}
	for _, name := range names {
		a.reserveAll(name, document.Groups[name])
	}
	return a.share
}

// apportionment is the working state of Apportion.
type apportionment struct {
	document  conf.Document
	fabrics   map[string]Fabric
	names     []string // of the fabric domains, sorted
	share     Share
	capacity  map[string]int       // instances not reserved yet, by fabric domain
	free      map[string]int       // unreserved instances that are in no replica or in a draining one, by fabric domain
	groups    map[string]*progress // by group
	*progress                      // of the current group
}

// progress is what has been reserved for a group so far.
type progress struct {
	total     int             // replicas
	perDomain map[string]int  // replicas by failure domain
	retained  map[string]bool // IDs of the existing replicas to keep
}

func newApportionment(document conf.Document, fabrics map[string]Fabric) *apportionment {
	a := &apportionment{
		document: document,
		fabrics:  fabrics,
		names:    slices.Sorted(maps.Keys(fabrics)),
		share:    Share{},
		capacity: map[string]int{},
		free:     map[string]int{},
		groups:   map[string]*progress{},
	}
	for _, name := range a.names {
		fabric := fabrics[name]
		a.share[name] = map[string]int{}
		a.capacity[name] = Available(document, fabric)
		a.free[name] = a.capacity[name]
		for _, replica := range fabric.Replicas {
			if replica.State != chart.Draining {
				a.free[name] -= len(replica.Members)
			}
		}
	}
	return a
}

// Available returns how many instances of a fabric domain may be members.
func Available(document conf.Document, fabric Fabric) int {
	if document.Domains[fabric.Domain].Out {
		return 0
	}
	return fabric.FitInstances
}

// byPriority returns the names of the groups, highest priority first.
func byPriority(document conf.Document) []string {
	names := slices.Sorted(maps.Keys(document.Groups))
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(document.Groups[b].Priority, document.Groups[a].Priority)
	})
	return names
}

// selectGroup makes a group the current one and continues with its progress.
func (a *apportionment) selectGroup(name string) {
	if a.groups[name] == nil {
		a.groups[name] = &progress{perDomain: map[string]int{}, retained: map[string]bool{}}
	}
	a.progress = a.groups[name]
}

// reserveFirst reserves capacity for the best existing replica of a group. It
// reports whether the group has one or wants none.
func (a *apportionment) reserveFirst(name string, group conf.Group) bool {
	if group.Size <= 0 || group.Replicas <= 0 {
		return true
	}
	a.selectGroup(name)
	a.retain(name, group, existingReplicas(a.fabrics, name, group), 1, 1)
	return a.total > 0
}

// reserveAll reserves capacity for all replicas of a group, and for one more
// during a rollout if a fabric domain has enough free instances.
func (a *apportionment) reserveAll(name string, group conf.Group) {
	if group.Size <= 0 {
		return
	}
	a.selectGroup(name)
	want := group.Replicas
	if hasOutdated(a.fabrics, name, group) {
		want++
	}
	existing := existingReplicas(a.fabrics, name, group)
	maxPerDomain := max(1, want-(a.document.Capacity.Spread-1))
	overLimit := a.retain(name, group, existing, want, maxPerDomain)
	a.spread(name, group)
	a.retain(name, group, overLimit, want, want)
	a.fill(name, group, group.Replicas, a.anyFabric)
	a.fill(name, group, want, func(fabric string) bool { return a.free[fabric] >= group.Size })
}

// spread reserves capacity in failure domains where the group has no replica,
// until it is in as many as Capacity.Spread demands.
func (a *apportionment) spread(name string, group conf.Group) {
	lacking := func(fabric string) bool { return a.perDomain[a.fabrics[fabric].Domain] == 0 }
	missing := a.document.Capacity.Spread - len(a.perDomain)
	a.fill(name, group, min(group.Replicas, a.total+missing), lacking)
}

// anyFabric allows all fabric domains.
func (*apportionment) anyFabric(string) bool { return true }

// fill reserves capacity for more replicas of a group until it has want, in the
// allowed fabric domains.
func (a *apportionment) fill(name string, group conf.Group, want int, allowed func(fabric string) bool) {
	for a.total < want {
		fabric, ok := a.chooseFabric(name, group, allowed)
		if !ok {
			return
		}
		a.reserve(fabric, name, group.Size)
		a.free[fabric] -= group.Size
	}
}

// retain reserves the capacity of existing replicas, at most maxPerDomain in
// one failure domain, and returns those above that limit.
func (a *apportionment) retain(name string, group conf.Group, existing []existingReplica, want, maxPerDomain int) []existingReplica {
	var overLimit []existingReplica
	for _, r := range existing {
		if a.total >= want {
			break
		}
		if a.retained[r.replica.ID] || a.capacity[r.fabric] < group.Size {
			continue
		}
		if a.perDomain[r.domain] >= maxPerDomain {
			overLimit = append(overLimit, r)
			continue
		}
		a.reserve(r.fabric, name, group.Size)
		a.retained[r.replica.ID] = true
	}
	return overLimit
}

// reserve reserves capacity for one replica of a group in a fabric domain.
func (a *apportionment) reserve(fabric, group string, size int) {
	a.share[fabric][group]++
	a.total++
	a.perDomain[a.fabrics[fabric].Domain]++
	a.capacity[fabric] -= size
}

// chooseFabric returns the best allowed fabric domain for one more replica of a
// group. It returns false if none has the capacity beside its spares.
func (a *apportionment) chooseFabric(name string, group conf.Group, allowed func(fabric string) bool) (string, bool) {
	var candidates []string
	for _, fabric := range a.names {
		fits := a.capacity[fabric]-a.document.Capacity.Spares >= group.Size
		if fits && allowed(fabric) {
			candidates = append(candidates, fabric)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	best := slices.MinFunc(candidates, func(x, y string) int { return a.compareFabrics(name, group, x, y) })
	return best, true
}

// compareFabrics orders two fabric domains by preference for one more replica.
// It prefers a failure domain without a replica of the group while the group is
// in too few, then enough free instances, the failure domain with fewer
// replicas of the group, and the larger capacity.
func (a *apportionment) compareFabrics(name string, group conf.Group, x, y string) int {
	countX := a.perDomain[a.fabrics[x].Domain]
	countY := a.perDomain[a.fabrics[y].Domain]
	belowSpread := len(a.perDomain) < a.document.Capacity.Spread
	return cmp.Or(
		cmp.Compare(btoi(belowSpread && countX > 0), btoi(belowSpread && countY > 0)),
		cmp.Compare(btoi(a.free[x] < group.Size), btoi(a.free[y] < group.Size)),
		cmp.Compare(countX, countY),
		cmp.Compare(a.capacity[y], a.capacity[x]),
		cmp.Compare(hash(name, x), hash(name, y)),
	)
}

// btoi returns 1 for true and 0 for false.
func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// hash returns the xxHash of the parts, each followed by a zero byte.
func hash(parts ...string) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}
