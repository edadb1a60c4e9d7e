package groups

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"clementinehead.example/chead/site"
)

// The larger model has no groups, and all endpoints could serve either model. In a
// large fleet several fabric domains must be reassigned at once, in a small one one
// after the other; none twice, and no more than the larger model needs.
func TestReassignmentsAreBounded(t *testing.T) {
	for _, c := range []struct {
		fabrics int
		target  float64
		want    int // fabric domains
	}{
		{3, 6, 1},
		{20, 6, 3},
		{20, 2, 2},
	} {
		is := is.New(t)
		large, small := testEngine.Models[0], testEngine.Models[1]
		p := NewPlanner(1, nil)
		snap := Snapshot{Engine: testEngine, Endpoints: map[string]EndpointState{}, HadTraffic: true}
		for f := range c.fabrics {
			for i := range 5 {
				g := &group{name: fmt.Sprintf("g%d-%d", f, i), epoch: int64(5*f + i), model: small, stage: serving}
				for m := range 2 {
					id := fmt.Sprintf("%s-%d", g.name, m)
					state := site.State{Fabric: fmt.Sprintf("f%02d", f), Staged: []string{"large"}, Models: []string{"small"}}
					snap.Endpoints[id] = EndpointState{Endpoint: site.Endpoint{ID: id, State: state}, Usable: true}
					g.members = append(g.members, member{id: id})
				}
				p.groups[g.name] = g
			}
		}
		for range 10 {
			overserved := balance{model: small, groups: 5 * c.fabrics, target: float64(5 * c.fabrics)}
			p.reassign(balance{model: large, target: c.target}, []balance{overserved}, map[string][]EndpointState{}, snap)
		}
		is.Equal(len(p.reservations), c.want)
		closed := 0
		for _, g := range p.groups {
			if g.stage == closing {
				closed++
			}
		}
		is.Equal(closed, 2*c.want) // two pairs make a group of four
	}
}
