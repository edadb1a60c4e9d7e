package edge

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/site"
)

// A daemon was killed and started again at the same address. What it said before is passed
// on for seconds: it must not stand for the new start, which may not be ready.
func TestEarlierStartIsNamedToCallers(t *testing.T) {
	is := is.New(t)
	before := site.Daemon{ID: "d1.a", Caller: "127.0.0.1:1", Peer: "127.0.0.1:2"}
	after := site.Daemon{ID: "d1.b", Caller: "127.0.0.1:1", Peer: "127.0.0.1:2"}
	other := site.Daemon{ID: "d2.a", Caller: "127.0.0.2:1", Peer: "127.0.0.2:2"}
	heard := []gossip.Message{{From: before, Ready: true}, {From: after}, {From: other, Ready: true}}
	ids := func(listed ...site.Daemon) (found []string) {
		all := map[string]site.Daemon{}
		for _, d := range listed {
			all[d.ID] = d
		}
		for _, m := range currentStarts(heard, all) {
			found = append(found, m.From.ID)
		}
		return found
	}
	is.Equal(ids(before, other), []string{"d1.b", "d2.a"}) // the store doesn't tell yet
	heard = slices.Delete(heard, 1, 2)
	is.Equal(ids(before, other), []string{"d1.a", "d2.a"})
	is.Equal(ids(site.Daemon{ID: "a9.b", Peer: before.Peer}), []string{"d2.a"}) // another instance has the address
	is.Equal(ids(after), []string{"d2.a"})                                      // the new start is not heard yet, and the other one not listed
}
