package keeper

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/fakes"
)

// The store's rates, calls a second, of which the keepers may take a tenth.
const (
	storeReads  = 2000
	storeWrites = 300
	keepersPart = 0.1
)

// TestStoreBudget counts the keepers' calls of the store, by kind, while an
// instance restarts every five seconds.
func TestStoreBudget(t *testing.T) {
	cases := []struct {
		name                               string
		daemons, domains, fabrics, runners int
	}{
		{"9 daemons, 63 runners", 9, 3, 6, 63},
		{"410 daemons, 600 runners", 410, 11, 40, 600},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld()
				defer w.stop()
				w.stagger = 0
				w.document.Domains = map[string]conf.Domain{}
				for i := range c.fabrics {
					domain := fmt.Sprintf("d%d", i%c.domains)
					w.document.Domains[domain] = conf.Domain{Region: "r"}
					w.addFabric(fmt.Sprintf("f%d", i), domain, c.runners/c.fabrics)
				}
				w.document.Groups["g"] = group(c.runners/4/2, 4)
				w.document.Capacity.Loads = c.runners
				w.configure()
				for i := range c.daemons {
					w.start(context.Background(), fmt.Sprintf("c%d", i), fmt.Sprintf("d%d", i%c.domains))
				}
				time.Sleep(15 * time.Second)
				before := w.store.Counts()
				const seconds = 15
				for i := range seconds / 5 {
					w.set(func() { w.points[fmt.Sprintf("f%d-1", i%c.fabrics)].restart() })
					time.Sleep(5 * time.Second)
				}
				is.Equal(w.faults, nil)
				spent := perSecond(before, w.store.Counts(), seconds)
				t.Logf("%s: reads %.2f, lists %.2f, writes %.2f, leases %.2f a second; %d of %d replicas serve",
					c.name, spent["reads"], spent["lists"], spent["writes"], spent["leases"], w.serving("g"), c.runners/4/2)
				is.True(spent["reads"]+spent["lists"] <= keepersPart*storeReads)
				is.True(spent["writes"]+spent["leases"] <= keepersPart*storeWrites)
			})
		})
	}
}

func perSecond(before, after fakes.Counts, seconds float64) map[string]float64 {
	return map[string]float64{
		"reads":  float64(after.Reads-before.Reads) / seconds,
		"lists":  float64(after.Lists-before.Lists) / seconds,
		"writes": float64(after.Writes-before.Writes) / seconds,
		"leases": float64(after.Leases-before.Leases) / seconds,
	}
}
