package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"clementinehead.example/chead/wire"
)

// Watchers is the number of daemons of a failure domain that watch the
// key-value service.
const Watchers = 2

// Chosen returns the first n live daemons of a failure domain in rendezvous
// order for a purpose, best first. All daemons with the same roster choose the
// same, and one that joins or goes changes little.
func Chosen(daemons []*wire.Daemon, domain, purpose string, n int) []*wire.Daemon {
	var live []*wire.Daemon
	for _, daemon := range daemons {
		if daemon.Domain == domain && daemon.Standing == wire.Standing_STANDING_ALIVE {
			live = append(live, daemon)
		}
	}
	slices.SortFunc(live, func(a, b *wire.Daemon) int {
		return cmp.Or(cmp.Compare(weight(purpose, b.Id), weight(purpose, a.Id)), cmp.Compare(a.Id, b.Id))
	})
	return live[:min(n, len(live))]
}

func weight(purpose, id string) uint64 { return xxhash.Sum64String(purpose + "/" + id) }
