package fleet

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"clementinehead.example/chead/conf"
)

var update = flag.Bool("update", false, "write the golden files anew")

// scenario is a sequence of faults in a cluster of three fabric domains in
// three failure domains, with two groups whose replicas span four instances.
type scenario struct {
	name   string
	size   int // instances in each fabric domain
	inject func(c *cluster)
}

var scenarios = []scenario{
	{name: "member paused 5 s", size: 9, inject: func(c *cluster) {
		c.instances["f1-02"].unreachable = true
		c.run(5 * time.Second)
		c.instances["f1-02"].unreachable = false
	}},
	{name: "member dies, spare", size: 9, inject: func(c *cluster) {
		c.instances["f1-02"].stopped = true
	}},
	{name: "member back cold after 3 min, no spare", size: 8, inject: func(c *cluster) {
		c.instances["f1-02"].stopped = true
		c.run(3 * minute)
		c.instances["f1-02"].stopped = false
		c.restart("f1-02")
	}},
	{name: "two replicas lose a member each for 5 min", size: 8, inject: func(c *cluster) {
		c.instances["f1-02"].stopped = true
		c.instances["f1-07"].stopped = true
		c.run(5 * minute)
		c.instances["f1-02"].stopped = false
		c.instances["f1-07"].stopped = false
		c.restart("f1-02")
		c.restart("f1-07")
	}},
	{name: "fabric domain dark 5 s", size: 12, inject: func(c *cluster) { c.blackout(5 * time.Second) }},
	{name: "fabric domain dark 20 s", size: 12, inject: func(c *cluster) { c.blackout(20 * time.Second) }},
	{name: "fabric domain dark 4 min", size: 12, inject: func(c *cluster) { c.blackout(4 * minute) }},
	{name: "instances restart one by one", size: 9, inject: func(c *cluster) {
		for i := range 9 {
			c.restart(fmt.Sprintf("f1-%02d", i+1))
			c.run(20 * time.Second)
		}
	}},
	{name: "failure domain out 5 min", size: 12, inject: func(c *cluster) {
		c.document.Domains["d1"] = conf.Domain{Region: "r", Out: true}
		c.run(5 * minute)
		c.document.Domains["d1"] = conf.Domain{Region: "r"}
	}},
}

// blackout makes the first fabric domain unreachable for a time.
func (c *cluster) blackout(d time.Duration) {
	c.setUnreachable("f1", true)
	c.run(d)
	c.setUnreachable("f1", false)
}

// scenarioCost is what a scenario cost.
type scenarioCost struct {
	shortfall time.Duration // replica-seconds that groups lacked
	outage    time.Duration // time in which a group had no serving replica
	stranded  float64       // accelerator-seconds
	loads     int           // replicas that were loaded
}

// measure runs the scenario under a policy and returns its cost.
func (s scenario) measure(t *testing.T, policy Policy) scenarioCost {
	c := newCluster(t, 3, s.size, s.size, s.size)
	c.policy = policy
	c.loadTime = time.Minute
	c.document.Capacity.Spread = 3
	c.setGroup("desk", 3, 4, 2)
	c.setGroup("bulk", 2, 4, 1)
	if s.size == 8 {
		c.setGroup("bulk", 3, 4, 1)
	}
	c.run(4 * minute)
	c.requireSettled()
	c.shortfall, c.outage, c.stranded, c.causes = map[string]time.Duration{}, map[string]time.Duration{}, 0, nil
	s.inject(c)
	c.run(6 * minute)
	var total scenarioCost
	for name := range c.document.Groups {
		total.shortfall += c.shortfall[name]
		total.outage += c.outage[name]
	}
	total.stranded = c.stranded
	for _, cause := range c.causes {
		total.loads += btoi(cause.Action == "place" || cause.Action == "mend")
	}
	return total
}

// costs returns the cost of each scenario under a policy.
func costs(t *testing.T, policy Policy) []scenarioCost {
	all := make([]scenarioCost, len(scenarios))
	var group errgroup.Group
	for i, s := range scenarios {
		group.Go(func() error {
			all[i] = s.measure(t, policy)
			return nil
		})
	}
	_ = group.Wait()
	return all
}

func (s *scenarioCost) add(other scenarioCost) {
	s.shortfall += other.shortfall
	s.outage += other.outage
	s.stranded += other.stranded
	s.loads += other.loads
}

// TestPolicies compares the cost of the scenarios under several policies with
// the golden file, which shows the effect of a change of policy. Run it with
// -update after such a change.
func TestPolicies(t *testing.T) {
	is := is.New(t)
	policies := []struct {
		name   string
		change func(p *Policy)
	}{
		{"default", func(*Policy) {}},
		{"a silent member is waited for 10 s", func(p *Policy) { p.SilentGrace = 10 * time.Second }},
		{"half-built replicas are kept", func(p *Policy) { p.KeepIncomplete = true }},
		{"darkness is not told from deaths", func(p *Policy) { p.UnreachableShare = 2 }},
		{"a dark fabric domain is waited for 30 s", func(p *Policy) { p.UnreachableGrace = 30 * time.Second }},
	}
	var text strings.Builder
	for _, p := range policies {
		policy := Default()
		p.change(&policy)
		fmt.Fprintf(&text, "%s\n%44s %10s %10s %10s %6s\n", p.name, "", "down s", "outage s", "stranded", "loads")
		var total scenarioCost
		for i, cost := range costs(t, policy) {
			total.add(cost)
			writeRow(&text, scenarios[i].name, cost)
		}
		writeRow(&text, "all", total)
	}
	const golden = "testdata/policies.golden"
	if *update {
		is.NoErr(os.WriteFile(golden, []byte(text.String()), 0o644))
	}
	want, err := os.ReadFile(golden)
	is.NoErr(err)
	if text.String() != string(want) {
		t.Fatalf("costs differ from %s:\n%s", golden, text.String())
	}
}

func writeRow(text *strings.Builder, name string, s scenarioCost) {
	fmt.Fprintf(text, "%44s %10.0f %10.0f %10.0f %6d\n", name, s.shortfall.Seconds(), s.outage.Seconds(), s.stranded, s.loads)
}
