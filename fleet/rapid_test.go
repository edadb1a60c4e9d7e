package fleet

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/prop"
)

func TestMain(m *testing.M) { prop.Main(m.Run, prop.Properties{Seed: "20261203"}) }

func drawDocument(t *rapid.T) conf.Document {
	document := conf.Fill(conf.Document{Groups: map[string]conf.Group{}})
	document.Capacity.Spread = rapid.IntRange(1, 3).Draw(t, "spread")
	document.Capacity.Spares = rapid.IntRange(0, 2).Draw(t, "spares")
	for i := range rapid.IntRange(1, 4).Draw(t, "groups") {
		document.Groups[fmt.Sprintf("g%d", i)] = conf.Group{
			Model:    "m",
			Version:  "1",
			Size:     rapid.IntRange(1, 4).Draw(t, "size"),
			Replicas: rapid.IntRange(0, 4).Draw(t, "replicas"),
			Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
		}
	}
	return document
}

// withShare returns a fabric domain whose replicas are those of the given
// share.
func withShare(fabric Fabric, groups map[string]int, document conf.Document) Fabric {
	fabric.Replicas = nil
	for name, count := range groups {
		for i := range count {
			group := document.Groups[name]
			fabric.Replicas = append(fabric.Replicas, Replica{
				ID: fmt.Sprint(name, fabric.Name, i), Group: name, Model: group.Model, Version: group.Version,
				State: chart.Serving, Members: make([]Member, group.Size),
			})
		}
	}
	return fabric
}

// TestApportionFitsAndIsStable checks that no fabric domain gets more replicas
// than its fit instances can hold, and that a second Apportion leaves the
// placed share unchanged.
func TestApportionFitsAndIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		document := drawDocument(t)
		fabrics := map[string]Fabric{}
		for i := range rapid.IntRange(1, 5).Draw(t, "fabrics") {
			name := fmt.Sprintf("f%d", i)
			domain := fmt.Sprintf("d%d", rapid.IntRange(0, 2).Draw(t, "domain"))
			fabrics[name] = Fabric{Name: name, Domain: domain, FitInstances: rapid.IntRange(0, 16).Draw(t, "fit")}
		}
		share := Apportion(document, fabrics)
		for name, groups := range share {
			used := 0
			for group, count := range groups {
				used += count * document.Groups[group].Size
			}
			if used > fabrics[name].FitInstances {
				t.Fatalf("%s: %d instances used, %d fit", name, used, fabrics[name].FitInstances)
			}
			fabrics[name] = withShare(fabrics[name], groups, document)
		}
		second := Apportion(document, fabrics)
		for name, groups := range share {
			if !maps.Equal(groups, second[name]) {
				t.Fatalf("%s: second share is %v, first was %v", name, second[name], groups)
			}
		}
	})
}

// injectFault draws a fault and starts or ends it.
func (c *cluster) injectFault(t *rapid.T) {
	fabric := rapid.SampledFrom([]string{"f1", "f2", "f3"}).Draw(t, "fabric")
	m := c.instances[fmt.Sprintf("%s-%02d", fabric, rapid.IntRange(1, 9).Draw(t, "instance"))]
	on := rapid.Bool().Draw(t, "on")
	switch rapid.SampledFrom([]string{"kill", "restart", "cut", "dark", "late", "domain", "instance", "version", "gate"}).Draw(t, "fault") {
	case "kill":
		m.stopped = true
	case "restart":
		m.stopped = false
		c.restart(m.ID)
	case "cut":
		m.unreachable = on
	case "dark":
		c.setUnreachable(fabric, on)
	case "late":
		m.late = on
	case "domain":
		c.document.Domains[m.Domain] = conf.Domain{Region: "r", Out: on}
	case "instance":
		c.document.Instances[m.ID] = conf.Instance{Out: on}
	case "version":
		group := c.document.Groups["g"]
		group.Version = fmt.Sprint(len(c.causes))
		c.document.Groups["g"] = group
	case "gate":
		c.daemons[0].Alive, c.daemons[0].Lost = !on, on
	}
}

// clearFaults ends all faults.
func (c *cluster) clearFaults() {
	for _, m := range c.instances {
		if m.stopped {
			c.restart(m.ID)
		}
		m.stopped, m.unreachable, m.late = false, false, false
	}
	for name := range c.document.Domains {
		c.document.Domains[name] = conf.Domain{Region: "r"}
	}
	clear(c.document.Instances)
	c.daemons[0].Alive, c.daemons[0].Lost = true, false
}

// TestFleetSettles checks that after arbitrary faults end, all wanted replicas
// serve and no further decision is made.
func TestFleetSettles(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := newCluster(r, 3, 9, 9, 9)
		c.document.Capacity.Spread = 3
		c.setGroup("g", 3, 4, 2)
		c.setGroup("h", 2, 4, 1)
		c.run(minute)
		for range rapid.IntRange(1, 8).Draw(r, "faults") {
			c.injectFault(r)
			c.run(time.Duration(rapid.IntRange(0, 40).Draw(r, "pause")) * time.Second)
		}
		c.clearFaults()
		c.run(3 * minute)
		c.requireSettled()
		before := len(c.causes)
		c.run(20 * time.Second)
		if len(c.causes) > before {
			r.Fatalf("%d more decisions\n%s", len(c.causes)-before, c.recentCauses())
		}
	})
}
