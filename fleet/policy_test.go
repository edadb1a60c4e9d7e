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

// script is a course of faults on a fleet of three fabric domains in three
// failure domains, with two groups of replicas that span four instances.
type script struct {
	name string
	size int // instances of a fabric domain
	play func(l *lab)
}

var scripts = []script{
	{name: "member paused 5 s", size: 9, play: func(l *lab) {
		l.machines["f1-02"].cut = true
		l.run(5 * time.Second)
		l.machines["f1-02"].cut = false
	}},
	{name: "member dies, spare", size: 9, play: func(l *lab) {
		l.machines["f1-02"].down = true
	}},
	{name: "member back cold after 3 min, no spare", size: 8, play: func(l *lab) {
		l.machines["f1-02"].down = true
		l.run(3 * minute)
		l.machines["f1-02"].down = false
		l.restart("f1-02")
	}},
	{name: "two replicas lose a member each for 5 min", size: 8, play: func(l *lab) {
		l.machines["f1-02"].down = true
		l.machines["f1-07"].down = true
		l.run(5 * minute)
		l.machines["f1-02"].down = false
		l.machines["f1-07"].down = false
		l.restart("f1-02")
		l.restart("f1-07")
	}},
	{name: "fabric domain dark 5 s", size: 12, play: func(l *lab) { l.dark(5 * time.Second) }},
	{name: "fabric domain dark 20 s", size: 12, play: func(l *lab) { l.dark(20 * time.Second) }},
	{name: "fabric domain dark 4 min", size: 12, play: func(l *lab) { l.dark(4 * minute) }},
	{name: "instances restart one by one", size: 9, play: func(l *lab) {
		for i := range 9 {
			l.restart(fmt.Sprintf("f1-%02d", i+1))
			l.run(20 * time.Second)
		}
	}},
	{name: "failure domain out 5 min", size: 12, play: func(l *lab) {
		l.document.Domains["d1"] = conf.Domain{Region: "r", Out: true}
		l.run(5 * minute)
		l.document.Domains["d1"] = conf.Domain{Region: "r"}
	}},
}

// dark cuts the first fabric domain off for a time.
func (l *lab) dark(d time.Duration) {
	l.cut("f1", true)
	l.run(d)
	l.cut("f1", false)
}

// sums are what a script cost.
type sums struct {
	down     time.Duration // replica-seconds that groups lacked
	outage   time.Duration // in which a group had no replica
	stranded float64       // accelerator-seconds
	loads    int           // replicas that were loaded
}

func (s script) cost(t *testing.T, policy Policy) sums {
	l := newLab(t, 3, s.size, s.size, s.size)
	l.policy = policy
	l.load = time.Minute
	l.document.Capacity.Spread = 3
	l.want("desk", 3, 4, 2)
	l.want("bulk", 2, 4, 1)
	if s.size == 8 {
		l.want("bulk", 3, 4, 1)
	}
	l.run(4 * minute)
	l.settled()
	l.down, l.outage, l.stranded, l.causes = map[string]time.Duration{}, map[string]time.Duration{}, 0, nil
	s.play(l)
	l.run(6 * minute)
	var cost sums
	for name := range l.document.Groups {
		cost.down += l.down[name]
		cost.outage += l.outage[name]
	}
	cost.stranded = l.stranded
	for _, cause := range l.causes {
		cost.loads += truth(cause.Action == "place" || cause.Action == "mend")
	}
	return cost
}

// costs returns what each script costs.
func costs(t *testing.T, policy Policy) []sums {
	all := make([]sums, len(scripts))
	var group errgroup.Group
	for i, s := range scripts {
		group.Go(func() error {
			all[i] = s.cost(t, policy)
			return nil
		})
	}
	_ = group.Wait()
	return all
}

func (s *sums) add(other sums) {
	s.down += other.down
	s.outage += other.outage
	s.stranded += other.stranded
	s.loads += other.loads
}

// TestPolicies prints what the fixed scripts cost by policy. The golden file
// shows what a change of policy does; run with -update after one.
func TestPolicies(t *testing.T) {
	is := is.New(t)
	policies := []struct {
		name   string
		change func(p *Policy)
	}{
		{"default", func(*Policy) {}},
		{"a silent member is waited for 10 s", func(p *Policy) { p.Patience = 10 * time.Second }},
		{"half-built replicas are kept", func(p *Policy) { p.Keep = true }},
		{"darkness is not told from deaths", func(p *Policy) { p.Dark = 2 }},
		{"a dark fabric domain is waited for 30 s", func(p *Policy) { p.Blackout = 30 * time.Second }},
	}
	var text strings.Builder
	for _, p := range policies {
		policy := Default()
		p.change(&policy)
		fmt.Fprintf(&text, "%s\n%44s %10s %10s %10s %6s\n", p.name, "", "down s", "outage s", "stranded", "loads")
		var total sums
		for i, cost := range costs(t, policy) {
			total.add(cost)
			line(&text, scripts[i].name, cost)
		}
		line(&text, "all", total)
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

func line(text *strings.Builder, name string, s sums) {
	fmt.Fprintf(text, "%44s %10.0f %10.0f %10.0f %6d\n", name, s.down.Seconds(), s.outage.Seconds(), s.stranded, s.loads)
}
