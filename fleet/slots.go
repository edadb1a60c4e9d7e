package fleet

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/conf"
)

// turns is the number of rankings of loads after which one goes by no merit,
// so that a load which its keeper can't begin holds the others up no longer.
const turns = 4

// Slots returns how many replicas of each group a fabric domain may begin to
// load now, so that all fabric domains together stay within the document's
// loads. Every keeper works it out alike; loads that are under way count.
func (p Policy) Slots(document conf.Document, fabrics map[string]Fabric, share Share, fabric string, now time.Time) map[string]int {
	free := document.Capacity.Loads - loading(fabrics)
	slots := map[string]int{}
	for _, load := range p.ranked(document, fabrics, share, now) {
		if free <= 0 {
			break
		}
		free--
		if load.fabric == fabric {
			slots[load.group]++
		}
	}
	return slots
}

func loading(fabrics map[string]Fabric) int {
	count := 0
	for _, fabric := range fabrics {
		for _, replica := range fabric.Replicas {
			count += truth(replica.State == chart.Loading)
		}
	}
	return count
}

// load is a replica that a fabric domain should hold and doesn't.
type load struct {
	fabric, group string
	serving       int // replicas of the group that serve
	priority      int
}

// ranked returns the loads that are due: groups that serve nowhere go first,
// then by priority.
func (p Policy) ranked(document conf.Document, fabrics map[string]Fabric, share Share, now time.Time) []load {
	turn := now.UnixNano() / int64(p.Rotation)
	loads := due(document, fabrics, share)
	slices.SortFunc(loads, func(x, y load) int {
		lot := cmp.Compare(x.lot(turn), y.lot(turn))
		if turn%turns == turns-1 {
			return lot
		}
		return cmp.Or(
			cmp.Compare(truth(x.serving > 0), truth(y.serving > 0)),
			cmp.Compare(y.priority, x.priority),
			cmp.Compare(x.serving, y.serving),
			lot,
		)
	})
	return loads
}

func (l load) lot(turn int64) uint64 {
	return hash(l.fabric, l.group, strconv.FormatInt(turn, 10))
}

func due(document conf.Document, fabrics map[string]Fabric, share Share) []load {
	var loads []load
	for name, groups := range share {
		for group, want := range groups {
			serving := Serving(document, fabrics, group)
			for range want - settled(fabrics[name], group) {
				loads = append(loads, load{name, group, serving, document.Groups[group].Priority})
			}
		}
	}
	return loads
}

// settled counts a group's replicas that serve or are loading.
func settled(fabric Fabric, group string) int {
	count := 0
	for _, replica := range fabric.Replicas {
		if replica.Group == group && (replica.State == chart.Serving || replica.State == chart.Loading) {
			count++
		}
	}
	return count
}

// Serving counts the replicas of a group that serve by what their fabric
// domains' values say. A fabric domain without room counts for nothing.
func Serving(document conf.Document, fabrics map[string]Fabric, group string) int {
	count := 0
	for _, fabric := range fabrics {
		if Room(document, fabric) == 0 {
			continue
		}
		for _, replica := range fabric.Replicas {
			count += truth(replica.Group == group && replica.State == chart.Serving)
		}
	}
	return count
}
