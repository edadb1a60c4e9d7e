package edge

import (
	"hash/fnv"
	"slices"
	"strings"

	"clementinehead.example/chead/gossip"
)

// relaysPerDomain is the number of daemons of each failure domain that read the store.
// The others follow them, so that the calls to the store don't grow with the number
// of daemons, and hardly a byte crosses failure domains.
const relaysPerDomain = 2

// relays returns the addresses of the relays that this daemon follows, or none if it
// reads the store itself.
func (d *Daemon) relays() []string {
	if d.keeper.IsKeeper() {
		return nil
	}
	return chooseRelays(gossip.Message{From: d.self, Ready: d.ready(), Fresh: !d.leaving.Load()}, d.gossip.Alive())
}

// chooseRelays returns the addresses of the first relaysPerDomain daemons of self's
// failure domain that are ready and have a recent copy of the store, by ID, or none if
// self is one of them. Their order differs between daemons, to share the load.
func chooseRelays(self gossip.Message, alive []gossip.Message) []string {
	candidates := []gossip.Message{}
	for _, m := range append(alive, self) {
		if m.From.Domain == self.From.Domain && m.Ready && m.Fresh {
			candidates = append(candidates, m)
		}
	}
	slices.SortFunc(candidates, func(a, b gossip.Message) int { return strings.Compare(a.From.ID, b.From.ID) })
	var addresses []string
	for _, m := range candidates[:min(relaysPerDomain, len(candidates))] {
		if m.From.ID == self.From.ID {
			return nil
		}
		addresses = append(addresses, m.From.Peer)
	}
	if n := len(addresses); n > 0 {
		first := int(hashID(self.From.ID) % uint32(n))
		addresses = append(addresses[first:], addresses[:first]...)
	}
	return addresses
}

func hashID(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // writing to a hash does not fail
	return h.Sum32()
}
