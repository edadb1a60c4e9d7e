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

// machine is an instance with its endpoint.
type machine struct {
	store.Instance
	down   bool // process ended
	cut    bool // can't be reached
	late   bool // answers late
	report engine.Report
	ready  time.Time // when its load is done
}

// lab is a fleet on a false clock, kept by this package's functions alone.
type lab struct {
	t        rapid.TB
	now      time.Time
	load     time.Duration
	document conf.Document
	policy   Policy
	daemons  []Daemon
	machines map[string]*machine
	fabrics  map[string]Fabric
	seen     map[string]map[string]Seen
	causes   []Cause
	loads    int // most loads at once
	down     map[string]time.Duration
	outage   map[string]time.Duration
	stranded float64 // accelerator-seconds
}

// newLab makes fabric domains f1, f2, ... in failure domains d1, d2, ..., in
// turn, with the given numbers of instances.
func newLab(t rapid.TB, domains int, sizes ...int) *lab {
	l := &lab{
		t:        t,
		now:      time.Unix(1_000_000, 0),
		load:     20 * time.Second,
		policy:   Default(),
		machines: map[string]*machine{},
		fabrics:  map[string]Fabric{},
		seen:     map[string]map[string]Seen{},
		down:     map[string]time.Duration{},
		outage:   map[string]time.Duration{},
	}
	l.document = conf.Fill(conf.Document{Groups: map[string]conf.Group{}, Domains: map[string]conf.Domain{}, Instances: map[string]conf.Instance{}})
	for i, size := range sizes {
		domain := fmt.Sprintf("d%d", i%domains+1)
		l.document.Domains[domain] = conf.Domain{Region: "r"}
		l.addFabric(fmt.Sprintf("f%d", i+1), domain, size)
	}
	for i := range 2 * domains {
		domain := fmt.Sprintf("d%d", i%domains+1)
		l.daemons = append(l.daemons, Daemon{ID: fmt.Sprintf("c%d", i+1), Domain: domain, Region: "r", Alive: true})
	}
	return l
}

func (l *lab) addFabric(name, domain string, size int) {
	l.fabrics[name] = Fabric{Name: name, Domain: domain}
	l.seen[name] = map[string]Seen{}
	for i := range size {
		id := fmt.Sprintf("%s-%02d", name, i+1)
		l.machines[id] = &machine{
			Instance: store.Instance{ID: id, Address: id, Fabric: name, Domain: domain, Chips: 4, Checks: i%2 == 0, Standing: store.Live},
			report:   engine.Report{Instance: id, Boot: 1, State: engine.Idle},
		}
	}
}

func (l *lab) want(name string, replicas, size, priority int) {
	l.document.Groups[name] = conf.Group{Model: "m", Version: "1", Size: size, Replicas: replicas, Priority: priority}
}

func (l *lab) restart(id string) {
	m := l.machines[id]
	m.report = engine.Report{Instance: id, Boot: m.report.Boot + 1, State: engine.Idle}
}

// cut cuts all instances of a fabric domain off, or brings them back.
func (l *lab) cut(fabric string, cut bool) {
	for _, m := range l.machines {
		if m.Fabric == fabric {
			m.cut = cut
		}
	}
}

func (l *lab) run(d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); {
		l.tick()
	}
}

// tick is one second: every keeper takes a step from what the others had
// written a second before.
func (l *lab) tick() {
	l.now = l.now.Add(time.Second)
	for _, m := range l.machines {
		if m.report.State == engine.Loading && !l.now.Before(m.ready) {
			m.report.State = engine.Ready
		}
	}
	picture := maps.Clone(l.fabrics)
	for _, name := range slices.Sorted(maps.Keys(l.fabrics)) {
		l.step(name, picture)
	}
	l.loads = max(l.loads, loading(l.fabrics))
	l.measure()
}

func (l *lab) step(name string, picture map[string]Fabric) {
	for id, m := range l.machines {
		if m.Fabric == name {
			seen := List(l.seen[name][id], m.Instance, l.now)
			seen = l.policy.Observe(seen, l.probe(m), l.now)
			l.seen[name][id] = l.policy.Standing(seen, l.document, l.now)
		}
	}
	others := maps.Clone(picture)
	delete(others, name)
	result := Step(Input{
		Self: "c1", Fabric: l.fabrics[name], Others: others, Seen: l.seen[name],
		Document: l.document, Daemons: l.daemons, Policy: l.policy, Now: l.now,
	})
	if err := Check(result.Fabric); err != nil {
		l.t.Fatal(err)
	}
	l.fabrics[name] = result.Fabric
	l.causes = append(l.causes, result.Causes...)
	for _, command := range Orders(result.Fabric, l.seen[name]) {
		l.obey(l.machines[command.Instance], command.Order)
	}
}

func (l *lab) probe(m *machine) Answer {
	if m.down || m.cut {
		return Answer{Err: errors.New("no answer")}
	}
	answer := Answer{Report: m.report}
	if m.late {
		answer.Took = l.policy.Late + time.Millisecond
	}
	return answer
}

// obey carries out an order. An endpoint that is ordered the same replica and
// model keeps what it has loaded.
func (l *lab) obey(m *machine, order engine.Order) {
	if m.down || m.cut || m.Checks && order.Fence < m.report.Fence {
		return
	}
	r := &m.report
	same := r.Model == order.Model && r.Adapter == order.Adapter && r.Version == order.Version && r.Replica == order.Replica
	r.Fence, r.Replica, r.Rank = order.Fence, order.Replica, order.Rank
	r.Model, r.Adapter, r.Version = order.Model, order.Adapter, order.Version
	switch {
	case order.Replica == "":
		r.State = engine.Idle
	case !same:
		r.State = engine.Loading
		m.ready = l.now.Add(l.load)
	}
}

// serves judges a replica as a gate does.
func (l *lab) serves(r Replica) bool {
	if r.State != chart.Serving {
		return false
	}
	for _, member := range r.Members {
		m := l.machines[member.Instance]
		out := l.document.Domains[m.Domain].Out || l.document.Instances[m.ID].Out
		if m.down || m.cut || out || m.report.Boot != member.Boot || !Holds(m.report, &r) || m.report.State != engine.Ready {
			return false
		}
	}
	return true
}

func (l *lab) serving(group string) int {
	count := 0
	for _, fabric := range l.fabrics {
		for _, r := range fabric.Replicas {
			count += truth(r.Group == group && l.serves(r))
		}
	}
	return count
}

func (l *lab) measure() {
	for name, group := range l.document.Groups {
		serving := l.serving(name)
		l.down[name] += time.Duration(max(0, group.Replicas-serving)) * time.Second
		l.outage[name] += time.Duration(truth(serving == 0)) * time.Second
	}
	for _, fabric := range l.fabrics {
		for _, r := range fabric.Replicas {
			if l.serves(r) {
				continue
			}
			for _, member := range r.Members {
				if m := l.machines[member.Instance]; !m.down && !m.cut {
					l.stranded += float64(m.Chips)
				}
			}
		}
	}
}

// settled fails unless all wanted replicas serve with what their group offers.
func (l *lab) settled() {
	l.t.Helper()
	for name, group := range l.document.Groups {
		if got := l.serving(name); got != group.Replicas {
			l.t.Fatalf("group %s: %d replicas serve, %d wanted\n%s", name, got, group.Replicas, l.tail())
		}
		for _, fabric := range l.fabrics {
			for _, r := range fabric.Replicas {
				if r.Group == name && Outdated(r, group) {
					l.t.Fatalf("group %s: replica %s is outdated\n%s", name, r.ID, l.tail())
				}
			}
		}
	}
}

func (l *lab) tail() string {
	text := ""
	for _, cause := range l.causes[max(0, len(l.causes)-40):] {
		text += cause.String() + "\n"
	}
	return text
}
