package edge

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/site"
)

// The first two daemons of a failure domain that are ready read the store, and the
// others share them about evenly.
func TestRelaysAreChosen(t *testing.T) {
	is := is.New(t)
	var all []gossip.Message
	for i := range 60 {
		all = append(all, gossip.Message{From: site.Daemon{ID: fmt.Sprintf("d%02d", i), Domain: "north", Peer: fmt.Sprintf("peer%d", i)}, Ready: true, Fresh: true})
	}
	all[0].Fresh = false // cut off from the store
	all[2].Ready = false // starting
	other := gossip.Message{From: site.Daemon{ID: "a", Domain: "south", Peer: "south"}, Ready: true, Fresh: true}
	first := map[string]int{}
	readers := 0
	for i, self := range all {
		alive := []gossip.Message{other}
		alive = append(alive, all[:i]...)
		alive = append(alive, all[i+1:]...)
		addresses := chooseRelays(self, alive)
		if len(addresses) == 0 {
			readers++
			continue
		}
		is.Equal(len(addresses), relaysPerDomain)
		first[addresses[0]]++
	}
	is.Equal(readers, relaysPerDomain)
	is.Equal(first["peer1"]+first["peer3"], 60-relaysPerDomain)
	is.True(first["peer1"] >= 20 && first["peer3"] >= 20)
	is.Equal(chooseRelays(all[5], []gossip.Message{other}), nil) // nobody else heard in its domain
}
