package roster_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"clementinehead.example/chead/wire"
)

const (
	alive   = wire.Standing_STANDING_ALIVE
	suspect = wire.Standing_STANDING_SUSPECT
	leaving = wire.Standing_STANDING_LEAVING
	dead    = wire.Standing_STANDING_DEAD
)

// The cut functions below report whether the link between two addresses is cut.
// They give one direction; setCut applies them to both.

// noCut cuts no link.
func noCut(string, string) bool { return false }

// isolate returns a cut between one daemon and all others.
func isolate(address string) func(from, to string) bool {
	return func(from, _ string) bool { return from == address }
}

// cutPair cuts only the link between two daemons.
func cutPair(from, to string) bool { return from == "d001:7000" && to == "d002:7000" }

// cutHalves cuts the links between two halves of the daemons.
func cutHalves(from, to string) bool { return from < "d005" && to >= "d005" }

// TestMembershipUnderFaults checks which standing the other daemons have
// recorded for one daemon some time after a fault.
func TestMembershipUnderFaults(t *testing.T) {
	const n = 9
	tests := []struct {
		name   string
		fault  func(c *cluster, nodes []*node)
		wait   time.Duration
		daemon string // whose standing is checked
		want   wire.Standing
		count  int // live daemons that must have recorded it
	}{
		{"no fault", func(*cluster, []*node) {}, time.Minute, "d003", alive, n - 1},
		{"killed", func(_ *cluster, nodes []*node) { nodes[3].kill() }, 8 * time.Second, "d003", dead, n - 1},
		{"leaving", func(_ *cluster, nodes []*node) { nodes[3].roster.Leave() }, time.Second, "d003", leaving, n - 1},
		{"leaving, then gone", func(_ *cluster, nodes []*node) {
			nodes[3].roster.Leave()
			time.Sleep(time.Second)
			nodes[3].kill()
		}, 6 * time.Second, "d003", dead, n - 1},
		{"silent for a second", func(c *cluster, _ []*node) {
			c.setCut(isolate("d003:7000"))
			time.Sleep(time.Second)
			c.setCut(noCut)
		}, 5 * time.Second, "d003", alive, n - 1},
		{"silent for a minute", func(c *cluster, _ []*node) {
			c.setCut(isolate("d003:7000"))
			time.Sleep(time.Minute)
			c.setCut(noCut)
		}, 25 * time.Second, "d003", alive, n - 1},
		{"cut off", func(c *cluster, _ []*node) { c.setCut(isolate("d003:7000")) }, 8 * time.Second, "d003", dead, n - 1},
		{"link between two cut", func(c *cluster, _ []*node) { c.setCut(cutPair) }, time.Minute, "d002", alive, n - 1},
		{"split in halves", func(c *cluster, _ []*node) { c.setCut(cutHalves) }, 20 * time.Second, "d003", dead, 4},
		{"split in halves for ten minutes", func(c *cluster, _ []*node) {
			c.setCut(cutHalves)
			time.Sleep(10 * time.Minute) // longer than tombstoneTTL, so that they forget each other
			c.setCut(noCut)
		}, 2 * time.Minute, "d003", alive, n - 1},
		{"started again", func(c *cluster, nodes []*node) {
			nodes[3].kill()
			c.start("d003", "domain-00")
		}, 5 * time.Second, "d003", alive, n - 1},
		{"started again with its clock behind", func(c *cluster, nodes []*node) {
			nodes[3].kill()
			c.startAt("d003", "domain-00", 1) // a boot number below the earlier one
		}, 10 * time.Second, "d003", alive, n - 1},
		{"started during an outage of the store", func(c *cluster, nodes []*node) {
			c.store.Down(true)
			nodes[3].kill()
			time.Sleep(30 * time.Second)
			c.start("d003", "domain-00")
		}, 10 * time.Second, "d003", alive, n - 1},
		{"new during an outage of the store", func(c *cluster, _ []*node) {
			c.store.Down(true)
			c.start("d009", "domain-00")
		}, 10 * time.Second, "d009", alive, n},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withCluster(t, 1, func(t *testing.T, c *cluster) {
				is := is.New(t)
				nodes := c.startAll(n, 3)
				time.Sleep(10 * time.Second)
				test.fault(c, nodes)
				time.Sleep(test.wait)
				is.Equal(c.standings(test.daemon)[test.want], test.count)
			})
		})
	}
}

// TestNoSuspicionForOneCutLink checks that no daemon is suspected while only the
// link between two daemons is cut, since others send heartbeats on their behalf.
func TestNoSuspicionForOneCutLink(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.startAll(9, 3)
		time.Sleep(10 * time.Second)
		c.setCut(cutPair)
		time.Sleep(5 * time.Minute)
		is.Equal(c.counterSum("chead_roster_beats_total", "suspected"), 0)
	})
}

// event is a fault or a repair in a cluster.
type event struct {
	Kind   string
	Daemon int
	Wait   time.Duration
}

func drawEvent(t *rapid.T) event {
	return event{
		Kind: rapid.SampledFrom([]string{
			"kill", "start", "leave", "isolate", "halve", "heal", "loss", "no loss", "store down", "store up",
		}).Draw(t, "kind"),
		Daemon: rapid.IntRange(0, propertyDaemons-1).Draw(t, "daemon"),
		Wait:   time.Duration(rapid.IntRange(0, 20000).Draw(t, "wait")) * time.Millisecond,
	}
}

const propertyDaemons = 7

// TestMembershipProperty runs random faults and then repairs the network and the
// store. Two minutes later, every live daemon must have recorded the others'
// actual standings; of a dead or leaving daemon it may also have no record.
func TestMembershipProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Custom(drawEvent), 1, 30).Draw(rt, "script")
		var faults []string
		withCluster(t, 1, func(_ *testing.T, c *cluster) {
			nodes := c.startAll(propertyDaemons, 3)
			gone := map[int]bool{}
			for _, e := range script {
				c.applyEvent(nodes, gone, e)
				time.Sleep(e.Wait)
			}
			c.setCut(noCut)
			c.setLoss(0)
			c.store.Down(false)
			time.Sleep(2 * time.Minute)
			faults = c.checkStandings(nodes, gone)
		})
		if len(faults) > 0 {
			rt.Fatal(strings.Join(faults, "; "))
		}
	})
}

// applyEvent carries out an event. gone holds the daemons that were killed or
// are leaving.
func (c *cluster) applyEvent(nodes []*node, gone map[int]bool, e event) {
	node := nodes[e.Daemon]
	switch e.Kind {
	case "kill":
		node.kill()
		gone[e.Daemon] = true
	case "start":
		if node.dead.Load() {
			nodes[e.Daemon] = c.start(node.self.Id, node.self.Domain)
			delete(gone, e.Daemon)
		}
	case "leave":
		node.roster.Leave()
		gone[e.Daemon] = true
	case "isolate":
		c.setCut(isolate(node.self.PeerAddress))
	case "halve":
		c.setCut(func(from, to string) bool { return from < node.self.Id && to >= node.self.Id })
	case "heal":
		c.setCut(noCut)
	case "loss":
		c.setLoss(0.1)
	case "no loss":
		c.setLoss(0)
	case "store down", "store up":
		c.store.Down(e.Kind == "store down")
	}
}

// checkStandings returns a message for each daemon whose recorded standings are
// wrong.
func (c *cluster) checkStandings(nodes []*node, gone map[int]bool) []string {
	var faults []string
	for i, n := range nodes {
		found := c.standings(n.self.Id)
		switch {
		case n.dead.Load() && found[alive]+found[suspect]+found[leaving] > 0:
			faults = append(faults, fmt.Sprintf("%s is dead, others recorded %v", n.self.Id, found))
		case !n.dead.Load() && gone[i] && found[alive]+found[suspect]+found[dead] > 0:
			faults = append(faults, fmt.Sprintf("%s is leaving, others recorded %v", n.self.Id, found))
		case !gone[i] && found[leaving]+found[suspect]+found[dead]+found[wire.Standing_STANDING_UNSPECIFIED] > 0:
			faults = append(faults, fmt.Sprintf("%s is alive, others recorded %v", n.self.Id, found))
		}
	}
	return faults
}
