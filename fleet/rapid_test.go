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

// hold returns a fabric domain that holds what a share says.
func hold(fabric Fabric, groups map[string]int, document conf.Document) Fabric {
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

// TestShareFitsAndStays checks that no fabric domain gets more than it has
// room for, and that what has been placed by a share is left as it is.
func TestShareFitsAndStays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		document := drawDocument(t)
		fabrics := map[string]Fabric{}
		for i := range rapid.IntRange(1, 5).Draw(t, "fabrics") {
			name := fmt.Sprintf("f%d", i)
			domain := fmt.Sprintf("d%d", rapid.IntRange(0, 2).Draw(t, "domain"))
			fabrics[name] = Fabric{Name: name, Domain: domain, Fit: rapid.IntRange(0, 16).Draw(t, "fit")}
		}
		share := Apportion(document, fabrics)
		for name, groups := range share {
			used := 0
			for group, count := range groups {
				used += count * document.Groups[group].Size
			}
			if used > fabrics[name].Fit {
				t.Fatalf("%s: %d instances used, %d fit", name, used, fabrics[name].Fit)
			}
			fabrics[name] = hold(fabrics[name], groups, document)
		}
		again := Apportion(document, fabrics)
		for name, groups := range share {
			if !maps.Equal(groups, again[name]) {
				t.Fatalf("%s: %v once placed, %v before", name, again[name], groups)
			}
		}
	})
}

// disturb draws one fault, or the end of one.
func (l *lab) disturb(t *rapid.T) {
	fabric := rapid.SampledFrom([]string{"f1", "f2", "f3"}).Draw(t, "fabric")
	m := l.machines[fmt.Sprintf("%s-%02d", fabric, rapid.IntRange(1, 9).Draw(t, "instance"))]
	on := rapid.Bool().Draw(t, "on")
	switch rapid.SampledFrom([]string{"kill", "restart", "cut", "dark", "late", "domain", "instance", "version", "gate"}).Draw(t, "fault") {
	case "kill":
		m.down = true
	case "restart":
		m.down = false
		l.restart(m.ID)
	case "cut":
		m.cut = on
	case "dark":
		l.cut(fabric, on)
	case "late":
		m.late = on
	case "domain":
		l.document.Domains[m.Domain] = conf.Domain{Region: "r", Out: on}
	case "instance":
		l.document.Instances[m.ID] = conf.Instance{Out: on}
	case "version":
		group := l.document.Groups["g"]
		group.Version = fmt.Sprint(len(l.causes))
		l.document.Groups["g"] = group
	case "gate":
		l.daemons[0].Alive, l.daemons[0].Lost = !on, on
	}
}

func (l *lab) calm() {
	for _, m := range l.machines {
		if m.down {
			l.restart(m.ID)
		}
		m.down, m.cut, m.late = false, false, false
	}
	for name := range l.document.Domains {
		l.document.Domains[name] = conf.Domain{Region: "r"}
	}
	clear(l.document.Instances)
	l.daemons[0].Alive, l.daemons[0].Lost = true, false
}

// TestFleetSettles checks that after any faults all that is wanted serves, and
// that nothing is decided any more.
func TestFleetSettles(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l := newLab(r, 3, 9, 9, 9)
		l.document.Capacity.Spread = 3
		l.want("g", 3, 4, 2)
		l.want("h", 2, 4, 1)
		l.run(minute)
		for range rapid.IntRange(1, 8).Draw(r, "faults") {
			l.disturb(r)
			l.run(time.Duration(rapid.IntRange(0, 40).Draw(r, "pause")) * time.Second)
		}
		l.calm()
		l.run(3 * minute)
		l.settled()
		decided := len(l.causes)
		l.run(20 * time.Second)
		if len(l.causes) > decided {
			r.Fatalf("%d more decisions\n%s", len(l.causes)-decided, l.tail())
		}
	})
}
