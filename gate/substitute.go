package gate

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/view"
	"clementinehead.example/chead/wire"
)

// Substitutes returns the ids of the living daemons in the order in which they
// stand in for the dead gate of a replica while the store is down: those of
// its failure domain before those of its region before any, and among these in
// rendezvous order. Every daemon that knows the same roster finds the same
// order.
func Substitutes(v *view.View, daemons []*wire.Daemon, replica string) []string {
	place, ok := v.Place(replica)
	if !ok {
		return nil
	}
	var ids []string
	for _, s := range substitutes(replica, place.Domain, v.Document, daemons) {
		ids = append(ids, s.id)
	}
	return ids
}

// substitute is a daemon that may stand in for a gate.
type substitute struct {
	id       string
	distance int // 0 in the failure domain, 1 in the region, 2 elsewhere
	weight   uint64
}

func substitutes(replica, domain string, document conf.Document, daemons []*wire.Daemon) []substitute {
	region := document.Domains[domain].Region
	var all []substitute
	for _, daemon := range daemons {
		if daemon.Standing != wire.Standing_STANDING_ALIVE {
			continue
		}
		all = append(all, substitute{
			id:       daemon.Id,
			distance: distance(daemon, domain, region),
			weight:   xxhash.Sum64String(replica + "/" + daemon.Id),
		})
	}
	slices.SortFunc(all, func(a, b substitute) int {
		return cmp.Or(
			cmp.Compare(a.distance, b.distance),
			cmp.Compare(b.weight, a.weight),
			cmp.Compare(a.id, b.id),
		)
	})
	return all
}

func distance(daemon *wire.Daemon, domain, region string) int {
	switch {
	case daemon.Domain == domain:
		return 0
	case daemon.Region == region:
		return 1
	default:
		return 2
	}
}
