package fleet

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/store"
)

// fakeInstance is an instance with its endpoint.
type fakeInstance struct {
	store.Instance
	stopped     bool // the process has ended
	unreachable bool // partitioned from the keeper
	late        bool // answers probes later than Policy.LateAfter
	report      engine.Report
	loaded      time.Time // when its load completes
}

// cluster simulates the fabric domains on a fake clock. Step and Orders take the
// place of each fabric domain's keeper.
type cluster struct {
	t         rapid.TB
	now       time.Time
	loadTime  time.Duration
	document  conf.Document
	policy    Policy
	daemons   []Daemon
	instances map[string]*fakeInstance
	fabrics   map[string]Fabric
	statuses  map[string]map[string]InstanceStatus
	causes    []Cause
	maxLoads  int                      // highest number of simultaneous loads
	shortfall map[string]time.Duration // sum over the missing replicas of the time without them, by group
	outage    map[string]time.Duration // time without a serving replica, by group
	stranded  float64                  // accelerator-seconds that reachable members spent in replicas that did not serve
}

// newCluster makes fabric domains f1, f2, ... with the given numbers of
// instances. They are assigned to failure domains d1, d2, ... in rotation. Each
// failure domain has two daemons, and every second instance checks fencing tokens.
func newCluster(t rapid.TB, domains int, sizes ...int) *cluster {
	c := &cluster{
		t:         t,
		now:       time.Unix(1_000_000, 0),
		loadTime:  20 * time.Second,
		policy:    Default(),
		instances: map[string]*fakeInstance{},
		fabrics:   map[string]Fabric{},
		statuses:  map[string]map[string]InstanceStatus{},
		shortfall: map[string]time.Duration{},
		outage:    map[string]time.Duration{},
	}
	c.document = conf.Fill(conf.Document{Groups: map[string]conf.Group{}, Domains: map[string]conf.Domain{}, Instances: map[string]conf.Instance{}})
	for i, size := range sizes {
		domain := fmt.Sprintf("d%d", i%domains+1)
		c.document.Domains[domain] = conf.Domain{Region: "r"}
		c.addFabric(fmt.Sprintf("f%d", i+1), domain, size)
	}
	for i := range 2 * domains {
		domain := fmt.Sprintf("d%d", i%domains+1)
		c.daemons = append(c.daemons, Daemon{ID: fmt.Sprintf("c%d", i+1), Domain: domain, Region: "r", Alive: true})
	}
	return c
}

func (c *cluster) addFabric(name, domain string, size int) {
	c.fabrics[name] = Fabric{Name: name, Domain: domain}
	c.statuses[name] = map[string]InstanceStatus{}
	for i := range size {
		id := fmt.Sprintf("%s-%02d", name, i+1)
		c.instances[id] = &fakeInstance{
			Instance: store.Instance{ID: id, Address: id, Fabric: name, Domain: domain, Chips: 4, ChecksFence: i%2 == 0, Status: store.Live},
			report:   engine.Report{Instance: id, Boot: 1, State: engine.Idle},
		}
	}
}

func (c *cluster) setGroup(name string, replicas, size, priority int) {
	c.document.Groups[name] = conf.Group{Model: "m", Version: "1", Size: size, Replicas: replicas, Priority: priority}
}

func (c *cluster) restart(id string) {
	m := c.instances[id]
	m.report = engine.Report{Instance: id, Boot: m.report.Boot + 1, State: engine.Idle}
}

// setUnreachable partitions all instances of a fabric domain or ends their
// partition.
func (c *cluster) setUnreachable(fabric string, unreachable bool) {
	for _, m := range c.instances {
		if m.Fabric == fabric {
			m.unreachable = unreachable
		}
	}
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.tick()
	}
}

// tick advances the clock by one second. Each fabric domain takes a step with the
// values that the others had one second earlier.
func (c *cluster) tick() {
	c.now = c.now.Add(time.Second)
	for _, m := range c.instances {
		if m.report.State == engine.Loading && !c.now.Before(m.loaded) {
			m.report.State = engine.Ready
		}
	}
	snapshot := maps.Clone(c.fabrics)
	for _, name := range slices.Sorted(maps.Keys(c.fabrics)) {
		c.step(name, snapshot)
	}
	c.maxLoads = max(c.maxLoads, countLoading(c.fabrics))
	c.measure()
}

func (c *cluster) step(name string, snapshot map[string]Fabric) {
	for id, m := range c.instances {
		if m.Fabric == name {
			status := MarkListed(c.statuses[name][id], m.Instance, c.now)
			status = c.policy.Observe(status, c.probe(m), c.now)
			c.statuses[name][id] = c.policy.ApplyExclusion(status, c.document, c.now)
		}
	}
	others := maps.Clone(snapshot)
	delete(others, name)
	result := Step(Input{
		Self: "c1", Fabric: c.fabrics[name], Others: others, Instances: c.statuses[name],
		Document: c.document, Daemons: c.daemons, Policy: c.policy, Now: c.now,
	})
	if err := Check(result.Fabric); err != nil {
		c.t.Fatal(err)
	}
	c.fabrics[name] = result.Fabric
	c.causes = append(c.causes, result.Causes...)
	for _, command := range Orders(result.Fabric, c.statuses[name]) {
		c.execute(c.instances[command.Instance], command.Order)
	}
}

func (c *cluster) probe(m *fakeInstance) ProbeResult {
	if m.stopped || m.unreachable {
		return ProbeResult{Err: errors.New("no answer")}
	}
	answer := ProbeResult{Report: m.report}
	if m.late {
		answer.Latency = c.policy.LateAfter + time.Millisecond
	}
	return answer
}

// execute carries out an order. An endpoint keeps its loaded model if it is
// given the same replica and model again.
func (c *cluster) execute(m *fakeInstance, order engine.Order) {
	if m.stopped || m.unreachable || m.ChecksFence && order.Fence < m.report.Fence {
		return
	}
	r := &m.report
	loaded := r.Model == order.Model && r.Adapter == order.Adapter && r.Version == order.Version && r.Replica == order.Replica
	r.Fence, r.Replica, r.Rank = order.Fence, order.Replica, order.Rank
	r.Model, r.Adapter, r.Version = order.Model, order.Adapter, order.Version
	switch {
	case order.Replica == "":
		r.State = engine.Idle
	case !loaded:
		r.State = engine.Loading
		m.loaded = c.now.Add(c.loadTime)
	}
}

// serves reports whether a replica can serve, by the same conditions as its
// gate.
func (c *cluster) serves(r Replica) bool {
	if r.State != chart.Serving {
		return false
	}
	for _, member := range r.Members {
		m := c.instances[member.Instance]
		out := c.document.Domains[m.Domain].Out || c.document.Instances[m.ID].Out
		if m.stopped || m.unreachable || out || m.report.Boot != member.Boot || !Matches(m.report, &r) || m.report.State != engine.Ready {
			return false
		}
	}
	return true
}

func (c *cluster) serving(group string) int {
	count := 0
	for _, fabric := range c.fabrics {
		for _, r := range fabric.Replicas {
			count += btoi(r.Group == group && c.serves(r))
		}
	}
	return count
}

func (c *cluster) measure() {
	for name, group := range c.document.Groups {
		serving := c.serving(name)
		c.shortfall[name] += time.Duration(max(0, group.Replicas-serving)) * time.Second
		c.outage[name] += time.Duration(btoi(serving == 0)) * time.Second
	}
	for _, fabric := range c.fabrics {
		for _, r := range fabric.Replicas {
			if c.serves(r) {
				continue
			}
			for _, member := range r.Members {
				if m := c.instances[member.Instance]; !m.stopped && !m.unreachable {
					c.stranded += float64(m.Chips)
				}
			}
		}
	}
}

// requireSettled fails the test unless all wanted replicas serve and match
// their group's configuration.
func (c *cluster) requireSettled() {
	c.t.Helper()
	for name, group := range c.document.Groups {
		if got := c.serving(name); got != group.Replicas {
			c.t.Fatalf("group %s: %d replicas serve, %d wanted\n%s", name, got, group.Replicas, c.recentCauses())
		}
		for _, fabric := range c.fabrics {
			for _, r := range fabric.Replicas {
				if r.Group == name && Outdated(r, group) {
					c.t.Fatalf("group %s: replica %s is outdated\n%s", name, r.ID, c.recentCauses())
				}
			}
		}
	}
}

// recentCauses returns the last 40 decisions as text.
func (c *cluster) recentCauses() string {
	text := ""
	for _, cause := range c.causes[max(0, len(c.causes)-40):] {
		text += cause.String() + "\n"
	}
	return text
}
