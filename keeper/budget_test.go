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

// The rate limits of the key-value service in calls per second, and the share of
// them that the keepers may use.
const (
	storeReads  = 2000
	storeWrites = 300
	keeperShare = 0.1
)

// TestStoreBudget checks the rates of the keepers' calls to the key-value service
// against their share of its limits, while one instance restarts every five seconds.
func TestStoreBudget(t *testing.T) {
	cases := []struct {
		name                                 string
		daemons, domains, fabrics, instances int
	}{
		{"9 daemons, 63 instances", 9, 3, 6, 63},
		{"410 daemons, 600 instances", 410, 11, 40, 600},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSimulation()
				defer s.stop()
				s.stagger = 0
				s.document.Domains = map[string]conf.Domain{}
				for i := range c.fabrics {
					domain := fmt.Sprintf("d%d", i%c.domains)
					s.document.Domains[domain] = conf.Domain{Region: "r"}
					s.addFabric(fmt.Sprintf("f%d", i), domain, c.instances/c.fabrics)
				}
				s.document.Groups["g"] = group(c.instances/4/2, 4)
				s.document.Capacity.Loads = c.instances
				s.configure()
				for i := range c.daemons {
					s.start(context.Background(), fmt.Sprintf("c%d", i), fmt.Sprintf("d%d", i%c.domains))
				}
				time.Sleep(15 * time.Second)
				before := s.store.Counts()
				const seconds = 15
				for i := range seconds / 5 {
					s.update(func() { s.endpoints[fmt.Sprintf("f%d-1", i%c.fabrics)].restart() })
					time.Sleep(5 * time.Second)
				}
				is.Equal(s.violations, nil)
				rates := callRates(before, s.store.Counts(), seconds)
				t.Logf("%s: reads %.2f, lists %.2f, writes %.2f, leases %.2f a second; %d of %d replicas serve",
					c.name, rates["reads"], rates["lists"], rates["writes"], rates["leases"], s.servingCount("g"), c.instances/4/2)
				is.True(rates["reads"]+rates["lists"] <= keeperShare*storeReads)
				is.True(rates["writes"]+rates["leases"] <= keeperShare*storeWrites)
			})
		})
	}
}

// callRates returns the calls per second between two counts, by kind of call.
func callRates(before, after fakes.Counts, seconds float64) map[string]float64 {
	return map[string]float64{
		"reads":  float64(after.Reads-before.Reads) / seconds,
		"lists":  float64(after.Lists-before.Lists) / seconds,
		"writes": float64(after.Writes-before.Writes) / seconds,
		"leases": float64(after.Leases-before.Leases) / seconds,
	}
}
