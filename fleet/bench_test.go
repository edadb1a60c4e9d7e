package fleet

import (
	"fmt"
	"testing"
)

// BenchmarkStep is one step of one keeper while nothing changes, by the number
// of fabric domains and of their instances.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ fabrics, instances int }{{6, 10}, {40, 15}} {
		b.Run(fmt.Sprintf("%dx%d", size.fabrics, size.instances), func(b *testing.B) {
			sizes := make([]int, size.fabrics)
			for i := range sizes {
				sizes[i] = size.instances
			}
			l := newLab(b, 3, sizes...)
			l.document.Capacity.Loads = size.fabrics
			for i := range size.fabrics {
				l.want(fmt.Sprintf("g%d", i), 2, 4, i%3)
			}
			l.run(minute)
			in := Input{
				Self: "c1", Fabric: l.fabrics["f1"], Others: l.fabrics, Seen: l.seen["f1"],
				Document: l.document, Daemons: l.daemons, Policy: l.policy, Now: l.now,
			}
			for b.Loop() {
				Step(in)
			}
		})
	}
}
