package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/store"
)

const minute = time.Minute

// TestStep checks that after each fault or change of the configuration all
// wanted replicas serve again.
func TestStep(t *testing.T) {
	cases := []struct {
		name    string
		domains int
		sizes   []int
		setup   func(c *cluster)
		check   func(c *cluster, is *is.I)
	}{
		{
			name: "replicas spread over failure domains", domains: 3, sizes: []int{8, 8, 8},
			setup: func(c *cluster) { c.document.Capacity.Spread = 3; c.setGroup("g", 3, 4, 0) },
			check: func(c *cluster, is *is.I) {
				for _, fabric := range c.fabrics {
					is.Equal(len(fabric.Replicas), 1)
				}
			},
		},
		{
			name: "loads are staggered over all fabric domains", domains: 3, sizes: []int{8, 8, 8},
			setup: func(c *cluster) { c.document.Capacity.Loads = 2; c.setGroup("g", 6, 4, 0) },
			check: func(c *cluster, is *is.I) { is.True(c.maxLoads <= 2) },
		},
		{
			name: "a spare takes a silent member's place at once", domains: 1, sizes: []int{5},
			setup: func(c *cluster) { c.setGroup("g", 1, 4, 0) },
			check: func(c *cluster, is *is.I) {
				c.shortfall["g"] = 0
				c.instances["f1-02"].stopped = true
				c.run(minute)
				is.True(c.shortfall["g"] <= c.loadTime+5*time.Second)
				is.Equal(c.fabrics["f1"].Replicas[0].Members[1].Instance, "f1-05")
			},
		},
		{
			name: "a restarted member is detected and loaded again", domains: 1, sizes: []int{4},
			setup: func(c *cluster) { c.setGroup("g", 1, 4, 0) },
			check: func(c *cluster, is *is.I) {
				c.restart("f1-03")
				c.tick()
				is.Equal(c.serving("g"), 0)
				c.run(minute)
			},
		},
		{
			name: "a slow member is replaced by a spare", domains: 1, sizes: []int{5},
			setup: func(c *cluster) { c.setGroup("g", 1, 4, 0) },
			check: func(c *cluster, is *is.I) {
				c.instances["f1-01"].late = true
				c.run(2 * minute)
				is.Equal(c.fabrics["f1"].Replicas[0].Members[0].Instance, "f1-05")
			},
		},
		{
			name: "incomplete replicas are dropped to complete another", domains: 1, sizes: []int{8},
			setup: func(c *cluster) { c.setGroup("g", 2, 4, 0) },
			check: func(c *cluster, is *is.I) {
				c.instances["f1-01"].stopped = true
				c.instances["f1-08"].stopped = true
				c.run(minute)
				is.Equal(c.serving("g"), 1)
				c.instances["f1-01"].stopped = false
				c.instances["f1-08"].stopped = false
				c.run(minute)
			},
		},
		{
			name: "a higher priority goes first when instances are short", domains: 1, sizes: []int{8},
			setup: func(c *cluster) { c.setGroup("low", 2, 4, 1) },
			check: func(c *cluster, is *is.I) {
				c.setGroup("high", 1, 4, 2)
				c.run(2 * minute)
				is.Equal(c.serving("high"), 1)
				is.Equal(c.serving("low"), 1)
				delete(c.document.Groups, "low")
				c.run(minute)
				is.Equal(len(c.fabrics["f1"].Replicas), 1)
			},
		},
		{
			name: "a last replica is not given up for a second one of a higher priority", domains: 2, sizes: []int{8, 8},
			setup: func(c *cluster) { c.setGroup("low", 2, 4, 0); c.setGroup("high", 2, 4, 1) },
			check: func(c *cluster, is *is.I) {
				is.Equal(c.serving("low"), 2)
				c.document.Domains["d1"] = conf.Domain{Out: true}
				for range 60 {
					c.tick()
					is.True(c.serving("low") >= 1)
				}
				is.Equal(c.serving("high"), 1)
				c.document.Domains["d1"] = conf.Domain{}
				c.run(2 * minute)
				is.Equal(c.serving("low")+c.serving("high"), 4)
			},
		},
		{
			name: "a last replica is given up for the first one of a higher priority", domains: 1, sizes: []int{4},
			setup: func(c *cluster) { c.setGroup("low", 1, 4, 0) },
			check: func(c *cluster, is *is.I) {
				c.setGroup("high", 1, 4, 1)
				c.run(2 * minute)
				is.Equal(c.serving("high"), 1)
				delete(c.document.Groups, "low")
				c.run(minute)
			},
		},
		{
			name: "a rollout uses free capacity", domains: 2, sizes: []int{8, 4},
			setup: func(c *cluster) { c.setGroup("g", 2, 4, 0) },
			check: func(c *cluster, is *is.I) { rollWithoutOutage(c, is, 2) },
		},
		{
			name: "a rollout without free capacity replaces in place", domains: 2, sizes: []int{4, 4},
			setup: func(c *cluster) { c.setGroup("g", 2, 4, 0) },
			check: func(c *cluster, is *is.I) { rollWithoutOutage(c, is, 1) },
		},
		{
			name: "a single replica waits for free capacity to roll out", domains: 1, sizes: []int{4},
			setup: func(c *cluster) { c.setGroup("g", 1, 4, 0) },
			check: func(c *cluster, is *is.I) {
				rollWithoutOutage(c, is, 1)
				c.addFabric("f2", "d1", 4)
				for range 120 {
					c.tick()
					is.Equal(c.serving("g") > 0, true)
				}
			},
		},
		{
			name: "a failure domain is taken out of service and returns", domains: 2, sizes: []int{4, 8},
			setup: func(c *cluster) { c.setGroup("g", 1, 4, 0) },
			check: func(c *cluster, _ *is.I) {
				for name := range c.document.Domains {
					c.document.Domains[name] = conf.Domain{Region: "r", Out: true}
					c.run(2 * minute)
					c.requireSettled()
					c.document.Domains[name] = conf.Domain{Region: "r"}
					c.run(minute)
				}
			},
		},
		{
			name: "a leaving member is replaced", domains: 1, sizes: []int{5},
			setup: func(c *cluster) { c.setGroup("g", 1, 4, 0) },
			check: func(c *cluster, is *is.I) {
				c.instances["f1-02"].Status = store.Leaving
				c.tick()
				is.Equal(c.serving("g"), 0) // takes no new work
				c.run(minute)
				is.Equal(c.instances["f1-02"].report.Replica, "")
			},
		},
		{
			name: "a short loss of all instances moves nothing", domains: 2, sizes: []int{4, 4},
			setup: func(c *cluster) { c.setGroup("g", 1, 4, 0) },
			check: func(c *cluster, is *is.I) {
				before := len(c.causes)
				c.setUnreachable("f1", true)
				c.setUnreachable("f2", true)
				c.run(7 * time.Second)
				c.setUnreachable("f1", false)
				c.setUnreachable("f2", false)
				c.run(5 * time.Second)
				is.Equal(len(c.causes), before)
			},
		},
		{
			name: "a dark fabric domain is replaced within the limit of loads", domains: 2, sizes: []int{16, 16},
			setup: func(c *cluster) {
				c.document.Capacity.Loads = 2
				c.document.Capacity.Spread = 2
				c.setGroup("g", 4, 4, 0)
			},
			check: func(c *cluster, is *is.I) {
				c.setUnreachable("f1", true)
				c.run(2 * minute)
				c.requireSettled()
				c.maxLoads = 0
				c.setUnreachable("f1", false)
				c.run(3 * minute)
				is.True(c.maxLoads <= 2)
			},
		},
		{
			name: "a lost gate is replaced, and the members receive the new fencing token", domains: 2, sizes: []int{4},
			setup: func(c *cluster) { c.setGroup("g", 1, 4, 0) },
			check: func(c *cluster, is *is.I) {
				before := c.fabrics["f1"].Replicas[0]
				for i, d := range c.daemons {
					if d.ID == before.Gate {
						c.daemons[i].Alive, c.daemons[i].Lost = false, true
					}
				}
				c.tick()
				after := c.fabrics["f1"].Replicas[0]
				is.True(after.Gate != before.Gate)
				is.True(after.Fence > before.Fence)
				is.Equal(c.serving("g"), 1)
			},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, test.domains, test.sizes...)
			test.setup(c)
			c.run(3 * minute)
			c.requireSettled()
			test.check(c, is.New(t))
			c.requireSettled()
		})
	}
}

// rollWithoutOutage changes the version of group g and checks that at least
// fewest replicas serve at all times.
func rollWithoutOutage(c *cluster, is *is.I, fewest int) {
	group := c.document.Groups["g"]
	group.Version = "2"
	c.document.Groups["g"] = group
	for range 300 {
		c.tick()
		is.True(c.serving("g") >= fewest)
	}
}
