package fleet

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/conf"
)

// Share is how many replicas of each group each fabric domain should hold, by
// fabric domain and group.
type Share map[string]map[string]int

// Total returns how many replicas of a group all fabric domains should hold.
func (s Share) Total(group string) int {
	total := 0
	for _, groups := range s {
		total += groups[group]
	}
	return total
}

// Apportion shares the wanted replicas out among the fabric domains. Every
// keeper works it out alike from the document and the values of all fabric
// domains, and applies only its own part. Replicas stay where they stand while
// that serves the document. Groups of higher priority are served first, but the
// last standing replica of a group is not given up for a second one of another,
// as long as all groups of higher priority stand.
func Apportion(document conf.Document, fabrics map[string]Fabric) Share {
	a := newApportionment(document, fabrics)
	names := byPriority(document)
	for _, name := range names {
		if !a.first(name, document.Groups[name]) {
			break
		}
	}
	for _, name := range names {
		a.group(name, document.Groups[name])
	}
	return a.share
}

// apportionment is the state of Apportion's work.
type apportionment struct {
	document  conf.Document
	fabrics   map[string]Fabric
	names     []string
	share     Share
	room      map[string]int // instances not yet claimed
	loose     map[string]int // of these, the ones in no replica that goes on
	groups    map[string]*progress
	*progress // of the present group
}

// progress is what a group has been given so far.
type progress struct {
	total  int             // replicas
	placed map[string]int  // the same by failure domain
	kept   map[string]bool // ids of replicas that stand already
}

func newApportionment(document conf.Document, fabrics map[string]Fabric) *apportionment {
	a := &apportionment{
		document: document,
		fabrics:  fabrics,
		names:    slices.Sorted(maps.Keys(fabrics)),
		share:    Share{},
		room:     map[string]int{},
		loose:    map[string]int{},
		groups:   map[string]*progress{},
	}
	for _, name := range a.names {
		fabric := fabrics[name]
		a.share[name] = map[string]int{}
		a.room[name] = Room(document, fabric)
		a.loose[name] = a.room[name]
		for _, replica := range fabric.Replicas {
			if replica.State != chart.Draining {
				a.loose[name] -= len(replica.Members)
			}
		}
	}
	return a
}

// Room returns how many instances of a fabric domain may be members.
func Room(document conf.Document, fabric Fabric) int {
	if document.Domains[fabric.Domain].Out {
		return 0
	}
	return fabric.Fit
}

// byPriority returns the groups' names, the highest priority first.
func byPriority(document conf.Document) []string {
	names := slices.Sorted(maps.Keys(document.Groups))
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(document.Groups[b].Priority, document.Groups[a].Priority)
	})
	return names
}

// begin goes on with a group where it was left.
func (a *apportionment) begin(name string) {
	if a.groups[name] == nil {
		a.groups[name] = &progress{placed: map[string]int{}, kept: map[string]bool{}}
	}
	a.progress = a.groups[name]
}

// first claims the room of the best standing replica of a group, and reports
// whether the group has one or wants none.
func (a *apportionment) first(name string, group conf.Group) bool {
	if group.Size <= 0 || group.Replicas <= 0 {
		return true
	}
	a.begin(name)
	a.keep(name, group, incumbents(a.fabrics, name, group), 1, 1)
	return a.total > 0
}

// group claims room for all replicas of a group.
func (a *apportionment) group(name string, group conf.Group) {
	if group.Size <= 0 {
		return
	}
	a.begin(name)
	want := group.Replicas
	if rolling(a.fabrics, name, group) {
		want++
	}
	held := incumbents(a.fabrics, name, group)
	ceiling := max(1, want-(a.document.Capacity.Spread-1))
	capped := a.keep(name, group, held, want, ceiling)
	a.widen(name, group)
	a.keep(name, group, capped, want, want)
	a.fill(name, group, group.Replicas, a.any)
	a.fill(name, group, want, func(fabric string) bool { return a.loose[fabric] >= group.Size })
}

// widen claims room in failure domains that a group lacks, until it stands in
// as many as it should.
func (a *apportionment) widen(name string, group conf.Group) {
	lacking := func(fabric string) bool { return a.placed[a.fabrics[fabric].Domain] == 0 }
	missing := a.document.Capacity.Spread - len(a.placed)
	a.fill(name, group, min(group.Replicas, a.total+missing), lacking)
}

func (*apportionment) any(string) bool { return true }

// fill claims room for more replicas of a group until it has want, in fabric
// domains that may hold them.
func (a *apportionment) fill(name string, group conf.Group, want int, may func(fabric string) bool) {
	for a.total < want {
		fabric, ok := a.choose(name, group, may)
		if !ok {
			return
		}
		a.claim(fabric, name, group.Size)
		a.loose[fabric] -= group.Size
	}
}

// keep claims the room of replicas that stand already, at most ceiling of them
// in one failure domain, and returns the ones above that.
func (a *apportionment) keep(name string, group conf.Group, held []incumbent, want, ceiling int) []incumbent {
	var capped []incumbent
	for _, s := range held {
		if a.total >= want {
			break
		}
		if a.kept[s.replica.ID] || a.room[s.fabric] < group.Size {
			continue
		}
		if a.placed[s.domain] >= ceiling {
			capped = append(capped, s)
			continue
		}
		a.claim(s.fabric, name, group.Size)
		a.kept[s.replica.ID] = true
	}
	return capped
}

func (a *apportionment) claim(fabric, group string, size int) {
	a.share[fabric][group]++
	a.total++
	a.placed[a.fabrics[fabric].Domain]++
	a.room[fabric] -= size
}

// choose returns the fabric domain for one more replica of a group.
func (a *apportionment) choose(name string, group conf.Group, may func(fabric string) bool) (string, bool) {
	var fit []string
	for _, fabric := range a.names {
		enough := a.room[fabric]-a.document.Capacity.Spares >= group.Size
		if enough && may(fabric) {
			fit = append(fit, fabric)
		}
	}
	if len(fit) == 0 {
		return "", false
	}
	best := slices.MinFunc(fit, func(x, y string) int { return a.compare(name, group, x, y) })
	return best, true
}

// compare orders two fabric domains by their merit for one more replica: a
// failure domain that the group lacks, instances that are free now, the
// failure domain with fewer of its replicas, the larger room.
func (a *apportionment) compare(name string, group conf.Group, x, y string) int {
	inX := a.placed[a.fabrics[x].Domain]
	inY := a.placed[a.fabrics[y].Domain]
	narrow := len(a.placed) < a.document.Capacity.Spread
	return cmp.Or(
		cmp.Compare(truth(narrow && inX > 0), truth(narrow && inY > 0)),
		cmp.Compare(truth(a.loose[x] < group.Size), truth(a.loose[y] < group.Size)),
		cmp.Compare(inX, inY),
		cmp.Compare(a.room[y], a.room[x]),
		cmp.Compare(hash(name, x), hash(name, y)),
	)
}

// incumbent is a replica that stands already, as Apportion weighs it.
type incumbent struct {
	replica  Replica
	fabric   string
	domain   string
	outdated bool
}

// incumbents returns a group's replicas that could be kept, the best first.
func incumbents(fabrics map[string]Fabric, name string, group conf.Group) []incumbent {
	var found []incumbent
	for _, fabric := range fabrics {
		for _, replica := range fabric.Replicas {
			if replica.Group == name && replica.State != chart.Draining {
				found = append(found, incumbent{replica, fabric.Name, fabric.Domain, Outdated(replica, group)})
			}
		}
	}
	slices.SortFunc(found, func(x, y incumbent) int {
		return cmp.Or(
			cmp.Compare(rank(x.replica.State), rank(y.replica.State)),
			cmp.Compare(truth(x.outdated), truth(y.outdated)),
			x.replica.Since.Compare(y.replica.Since),
			cmp.Compare(x.replica.ID, y.replica.ID),
		)
	})
	return found
}

// rank orders the states of a replica by what giving it up would lose.
func rank(state string) int {
	return slices.Index([]string{chart.Serving, chart.Loading, chart.Draining, chart.Broken}, state)
}

// Outdated reports whether a replica offers something else than its group's
// configuration says, or has another size.
func Outdated(replica Replica, group conf.Group) bool {
	return replica.Model != group.Model || replica.Adapter != group.Adapter ||
		replica.Version != group.Version || len(replica.Members) != group.Size
}

func rolling(fabrics map[string]Fabric, name string, group conf.Group) bool {
	for _, fabric := range fabrics {
		for _, replica := range fabric.Replicas {
			if replica.Group == name && Outdated(replica, group) {
				return true
			}
		}
	}
	return false
}

func truth(b bool) int {
	if b {
		return 1
	}
	return 0
}

func hash(parts ...string) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}
