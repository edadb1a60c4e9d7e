package gate

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/wire"
)

// Substitutes returns the living daemons in the order in which they stand in
// for the gate of a replica in a failure domain: those of its failure domain,
// of its region and the others, each in rendezvous order. Gates and entries go
// by the same order, so that entries ask the daemon that stands in first.
func Substitutes(replica, domain string, daemons []*wire.Daemon, document conf.Document) []string {
	region := document.Domains[domain].Region
	var candidates []substitute
	for _, daemon := range daemons {
		if daemon.Standing != wire.Standing_STANDING_ALIVE {
			continue
		}
		candidates = append(candidates, substitute{
			id:     daemon.Id,
			tier:   nearness(daemon, domain, region),
			weight: xxhash.Sum64String(replica + "/" + daemon.Id),
		})
	}
	slices.SortFunc(candidates, func(a, b substitute) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
	})
	ids := make([]string, len(candidates))
	for i, candidate := range candidates {
		ids[i] = candidate.id
	}
	return ids
}

// substitute is a daemon that may stand in for a gate.
type substitute struct {
	id     string
	tier   int
	weight uint64
}
