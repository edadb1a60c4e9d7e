package groups

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/site"
)

// leftovers returns a cluster of fabric domains with three endpoints each, of which no
// one has enough for the only model that has demand.
func leftovers() (*cluster, *Planner) {
	c := newCluster(4, 3)
	c.engine.Models = c.engine.Models[:1] // large, of four
	for _, e := range c.engines {
		e.lastModel = "large"
		e.staged = []string{"large"}
		e.recordState(c.now)
	}
	c.hadTraffic = true
	return c, NewPlanner(1, nil)
}

// spreadLeaders counts the groups that serve with members in several fabric domains.
func (c *cluster) spreadLeaders() int {
	n := 0
	for _, e := range c.engines {
		if e.state.Member.Phase != site.Open || e.state.Member.Rank != 0 {
			continue
		}
		for _, id := range e.members {
			if c.engines[id].fabric != e.fabric {
				n++
				break
			}
		}
	}
	return n
}

// No fabric domain has enough endpoints for a group of the model that is short of
// groups. A slow group across domains serves more of its callers than none.
func TestSpreadGroupsServeWhatIsLeft(t *testing.T) {
	is := is.New(t)
	c, p := leftovers()
	c.demand = map[string]int{"large": 60}
	c.run(p, 8*time.Second)
	is.Equal(c.spreadLeaders(), 3) // of twelve endpoints
	is.Equal(c.violations, nil)
}

// As soon as a fabric domain has enough endpoints, counting the members of spread
// groups, they make way for a group in that domain.
func TestSpreadGroupMakesWay(t *testing.T) {
	is := is.New(t)
	c, p := leftovers()
	c.demand = map[string]int{"large": 60}
	c.run(p, 8*time.Second)
	c.add("f0-new", "f0")
	c.engines["f0-new"].staged = []string{"large"}
	c.engines["f0-new"].recordState(c.now)
	c.run(p, 8*time.Second)
	is.Equal(c.servingGroups()["large"], 3)
	is.Equal(c.spreadLeaders(), 2)
	is.Equal(c.violations, nil)
}

// An engine that does not tell how slow such groups are gets none.
func TestNoSpreadGroupsWithoutFactor(t *testing.T) {
	is := is.New(t)
	c, p := leftovers()
	c.engine.Across = 0
	c.demand = map[string]int{"large": 60}
	c.run(p, 8*time.Second)
	is.Equal(c.servingGroups()["large"], 0)
}
