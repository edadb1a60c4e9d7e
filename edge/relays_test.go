package edge

import (
	"testing"

	"github.com/matryer/is"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/site"
)

// Where changes must be in force sooner than a relay that lost the store is noticed,
// daemons read the store themselves. At 2 s they were late (CONFIG broken at
// paddockline-nz hunt-80c9-7).
func TestStoreIsReadWhereChangesMustBeInForceSoon(t *testing.T) {
	for apply, want := range map[int]bool{1000: false, 2000: false, 2899: false, 2900: true, 3000: true, 4000: true} {
		is := is.New(t)
		is.Equal(Settings{Apply: apply}.mayFollow(), want)
	}
}

// Guards against DRAIN: a daemon that was cut off, alone or with others, took that for an
// outage of the store, and kept endpoints that had left.
func TestCutIsNoOutageOfTheStore(t *testing.T) {
	for _, c := range []struct {
		name          string
		known         int
		fresh, others int  // heard
		want          bool // no outage
	}{
		{"alone in the deployment", 1, 0, 0, false},
		{"the only other one is gone", 2, 0, 0, false},
		{"the only other one reaches it", 2, 1, 0, true},
		{"nobody reaches it", 6, 0, 5, false},
		{"nobody reaches it, half are gone", 80, 0, 39, false},
		{"cut off alone", 6, 0, 0, true},
		{"cut off with another one", 6, 0, 1, true},
		{"cut off with a third of many", 81, 0, 27, true},
		{"turned away alone", 6, 5, 0, true},
		{"turned away with some", 6, 3, 2, true},
		{"most are turned away", 6, 1, 4, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var heard []gossip.Message
			for range c.fresh {
				heard = append(heard, gossip.Message{Fresh: true})
			}
			is.Equal(reachesStore(append(heard, make([]gossip.Message, c.others)...), c.known), c.want)
		})
	}
}

func TestFirstFresh(t *testing.T) {
	daemon := func(id, domain string) site.Daemon { return site.Daemon{ID: id, Domain: domain, Peer: "peer-" + id} }
	self := daemon("c", "north")
	heard := func(fresh bool, d site.Daemon) gossip.Message { return gossip.Message{From: d, Fresh: fresh} }
	for _, c := range []struct {
		name  string
		heard []gossip.Message
		local bool
		want  string
	}{
		{name: "alone"},
		{name: "it precedes the others", heard: []gossip.Message{heard(true, daemon("d", "north"))}},
		{name: "the first of two", heard: []gossip.Message{heard(true, daemon("b", "north")), heard(true, daemon("a", "south"))}, want: "peer-a"},
		{name: "the first has lost the store", heard: []gossip.Message{heard(true, daemon("b", "north")), heard(false, daemon("a", "south"))}, want: "peer-b"},
		{name: "of its failure domain", heard: []gossip.Message{heard(true, daemon("b", "north")), heard(true, daemon("a", "south"))}, local: true, want: "peer-b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(firstFresh(self, c.heard, c.local), c.want)
		})
	}
}
