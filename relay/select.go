package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"clementinehead.example/chead/wire"
)

// Watchers is the number of daemons of a failure domain that watch the key-value
// service.
const Watchers = 2

// Select returns the first n live daemons of a failure domain in rendezvous
// order for a purpose, best first. All daemons with the same roster select the
// same ones, and a daemon that joins or goes changes little.
func Select(daemons []*wire.Daemon, domain, purpose string, n int) []*wire.Daemon {
	var live []candidate
	for _, daemon := range daemons {
		if daemon.Domain == domain && daemon.Standing == wire.Standing_STANDING_ALIVE {
			live = append(live, candidate{daemon, xxhash.Sum64String(purpose + "/" + daemon.Id)})
		}
	}
	slices.SortFunc(live, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.daemon.Id, b.daemon.Id))
	})
	var chosen []*wire.Daemon
	for _, c := range live[:min(n, len(live))] {
		chosen = append(chosen, c.daemon)
	}
	return chosen
}

// candidate is a daemon with its rendezvous weight for a purpose.
type candidate struct {
	daemon *wire.Daemon
	weight uint64
}
