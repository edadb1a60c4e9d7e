package fleet

import (
	"fmt"
	"testing"
)

// BenchmarkStep measures one step of one keeper while nothing changes, by the
// number of fabric domains and of instances in each.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ fabrics, instances int }{{6, 10}, {40, 15}} {
		b.Run(fmt.Sprintf("%dx%d", size.fabrics, size.instances), func(b *testing.B) {
			sizes := make([]int, size.fabrics)
			for i := range sizes {
				sizes[i] = size.instances
			}
			c := newCluster(b, 3, sizes...)
			c.document.Capacity.Loads = size.fabrics
			for i := range size.fabrics {
				c.setGroup(fmt.Sprintf("g%d", i), 2, 4, i%3)
			}
			c.run(minute)
			in := Input{
				Self: "c1", Fabric: c.fabrics["f1"], Others: c.fabrics, Instances: c.statuses["f1"],
				Document: c.document, Daemons: c.daemons, Policy: c.policy, Now: c.now,
			}
			for b.Loop() {
				Step(in)
			}
		})
	}
}
