package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/store"
)

const minute = time.Minute

func TestStep(t *testing.T) {
	cases := []struct {
		name    string
		domains int
		sizes   []int
		start   func(l *lab)
		then    func(l *lab, is *is.I)
	}{
		{
			name: "replicas spread over failure domains", domains: 3, sizes: []int{8, 8, 8},
			start: func(l *lab) { l.document.Capacity.Spread = 3; l.want("g", 3, 4, 0) },
			then: func(l *lab, is *is.I) {
				for _, fabric := range l.fabrics {
					is.Equal(len(fabric.Replicas), 1)
				}
			},
		},
		{
			name: "loads are staggered over all fabric domains", domains: 3, sizes: []int{8, 8, 8},
			start: func(l *lab) { l.document.Capacity.Loads = 2; l.want("g", 6, 4, 0) },
			then:  func(l *lab, is *is.I) { is.True(l.loads <= 2) },
		},
		{
			name: "a spare takes a silent member's place at once", domains: 1, sizes: []int{5},
			start: func(l *lab) { l.want("g", 1, 4, 0) },
			then: func(l *lab, is *is.I) {
				l.down["g"] = 0
				l.machines["f1-02"].down = true
				l.run(minute)
				is.True(l.down["g"] <= l.load+5*time.Second)
				is.Equal(l.fabrics["f1"].Replicas[0].Members[1].Instance, "f1-05")
			},
		},
		{
			name: "a restart from warm to cold is noticed and loaded anew", domains: 1, sizes: []int{4},
			start: func(l *lab) { l.want("g", 1, 4, 0) },
			then: func(l *lab, is *is.I) {
				l.restart("f1-03")
				l.tick()
				is.Equal(l.serving("g"), 0)
				l.run(minute)
			},
		},
		{
			name: "a straggler makes way for a spare", domains: 1, sizes: []int{5},
			start: func(l *lab) { l.want("g", 1, 4, 0) },
			then: func(l *lab, is *is.I) {
				l.machines["f1-01"].late = true
				l.run(2 * minute)
				is.Equal(l.fabrics["f1"].Replicas[0].Members[0].Instance, "f1-05")
			},
		},
		{
			name: "half-built replicas are given up for a whole one", domains: 1, sizes: []int{8},
			start: func(l *lab) { l.want("g", 2, 4, 0) },
			then: func(l *lab, is *is.I) {
				l.machines["f1-01"].down = true
				l.machines["f1-08"].down = true
				l.run(minute)
				is.Equal(l.serving("g"), 1)
				l.machines["f1-01"].down = false
				l.machines["f1-08"].down = false
				l.run(minute)
			},
		},
		{
			name: "a higher priority goes first when instances are short", domains: 1, sizes: []int{8},
			start: func(l *lab) { l.want("low", 2, 4, 1) },
			then: func(l *lab, is *is.I) {
				l.want("high", 1, 4, 2)
				l.run(2 * minute)
				is.Equal(l.serving("high"), 1)
				is.Equal(l.serving("low"), 1)
				delete(l.document.Groups, "low")
				l.run(minute)
				is.Equal(len(l.fabrics["f1"].Replicas), 1)
			},
		},
		{
			name: "a last replica is not given up for a second one of a higher priority", domains: 2, sizes: []int{8, 8},
			start: func(l *lab) { l.want("low", 2, 4, 0); l.want("high", 2, 4, 1) },
			then: func(l *lab, is *is.I) {
				is.Equal(l.serving("low"), 2)
				l.document.Domains["d1"] = conf.Domain{Out: true}
				for range 60 {
					l.tick()
					is.True(l.serving("low") >= 1)
				}
				is.Equal(l.serving("high"), 1)
				l.document.Domains["d1"] = conf.Domain{}
				l.run(2 * minute)
				is.Equal(l.serving("low")+l.serving("high"), 4)
			},
		},
		{
			name: "a last replica is given up for the first one of a higher priority", domains: 1, sizes: []int{4},
			start: func(l *lab) { l.want("low", 1, 4, 0) },
			then: func(l *lab, is *is.I) {
				l.want("high", 1, 4, 1)
				l.run(2 * minute)
				is.Equal(l.serving("high"), 1)
				delete(l.document.Groups, "low")
				l.run(minute)
			},
		},
		{
			name: "a version rolls with room beside it", domains: 2, sizes: []int{8, 4},
			start: func(l *lab) { l.want("g", 2, 4, 0) },
			then:  func(l *lab, is *is.I) { rollWithoutOutage(l, is, 2) },
		},
		{
			name: "a version rolls in place where there is no room", domains: 2, sizes: []int{4, 4},
			start: func(l *lab) { l.want("g", 2, 4, 0) },
			then:  func(l *lab, is *is.I) { rollWithoutOutage(l, is, 1) },
		},
		{
			name: "a lone replica waits for room to roll", domains: 1, sizes: []int{4},
			start: func(l *lab) { l.want("g", 1, 4, 0) },
			then: func(l *lab, is *is.I) {
				rollWithoutOutage(l, is, 1)
				l.addFabric("f2", "d1", 4)
				for range 120 {
					l.tick()
					is.Equal(l.serving("g") > 0, true)
				}
			},
		},
		{
			name: "a failure domain goes out and returns", domains: 2, sizes: []int{4, 8},
			start: func(l *lab) { l.want("g", 1, 4, 0) },
			then: func(l *lab, _ *is.I) {
				for name := range l.document.Domains {
					l.document.Domains[name] = conf.Domain{Region: "r", Out: true}
					l.run(2 * minute)
					l.settled()
					l.document.Domains[name] = conf.Domain{Region: "r"}
					l.run(minute)
				}
			},
		},
		{
			name: "a leaving member makes way", domains: 1, sizes: []int{5},
			start: func(l *lab) { l.want("g", 1, 4, 0) },
			then: func(l *lab, is *is.I) {
				l.machines["f1-02"].Standing = store.Leaving
				l.tick()
				is.Equal(l.serving("g"), 0) // nothing new
				l.run(minute)
				is.Equal(l.machines["f1-02"].report.Replica, "")
			},
		},
		{
			name: "a short darkness moves nothing", domains: 2, sizes: []int{4, 4},
			start: func(l *lab) { l.want("g", 1, 4, 0) },
			then: func(l *lab, is *is.I) {
				before := len(l.causes)
				l.cut("f1", true)
				l.cut("f2", true)
				l.run(7 * time.Second)
				l.cut("f1", false)
				l.cut("f2", false)
				l.run(5 * time.Second)
				is.Equal(len(l.causes), before)
			},
		},
		{
			name: "a dark fabric domain is replaced by few loads at once", domains: 2, sizes: []int{16, 16},
			start: func(l *lab) {
				l.document.Capacity.Loads = 2
				l.document.Capacity.Spread = 2
				l.want("g", 4, 4, 0)
			},
			then: func(l *lab, is *is.I) {
				l.cut("f1", true)
				l.run(2 * minute)
				l.settled()
				l.loads = 0
				l.cut("f1", false)
				l.run(3 * minute)
				is.True(l.loads <= 2)
			},
		},
		{
			name: "a lost gate is named anew, and the members hear of it", domains: 2, sizes: []int{4},
			start: func(l *lab) { l.want("g", 1, 4, 0) },
			then: func(l *lab, is *is.I) {
				before := l.fabrics["f1"].Replicas[0]
				for i, d := range l.daemons {
					if d.ID == before.Gate {
						l.daemons[i].Alive, l.daemons[i].Lost = false, true
					}
				}
				l.tick()
				after := l.fabrics["f1"].Replicas[0]
				is.True(after.Gate != before.Gate)
				is.True(after.Fence > before.Fence)
				is.Equal(l.serving("g"), 1)
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newLab(t, c.domains, c.sizes...)
			c.start(l)
			l.run(3 * minute)
			l.settled()
			c.then(l, is.New(t))
			l.settled()
		})
	}
}

// rollWithoutOutage changes the version and checks that never fewer than
// fewest replicas serve.
func rollWithoutOutage(l *lab, is *is.I, fewest int) {
	group := l.document.Groups["g"]
	group.Version = "2"
	l.document.Groups["g"] = group
	for range 300 {
		l.tick()
		is.True(l.serving("g") >= fewest)
	}
}
