package groups

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"clementinehead.example/chead/site"
)

// The larger model has nothing, and all endpoints could serve either. In a large
// fleet several fabric domains change hands at once, in a small one one after the
// other; none twice, and no more than the larger model needs.
func TestYieldsKeepStep(t *testing.T) {
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
		large, small := labEngine.Models[0], labEngine.Models[1]
		p := NewPlanner(1, nil)
		w := World{Engine: labEngine, Units: map[string]Unit{}, Begun: true}
		for f := range c.fabrics {
			for i := range 5 {
				g := &group{name: fmt.Sprintf("g%d-%d", f, i), epoch: int64(5*f + i), model: small, stage: serving}
				for m := range 2 {
					id := fmt.Sprintf("%s-%d", g.name, m)
					state := site.State{Fabric: fmt.Sprintf("f%02d", f), Staged: []string{"large"}, Models: []string{"small"}}
					w.Units[id] = Unit{Endpoint: site.Endpoint{ID: id, State: state}, Usable: true}
					g.members = append(g.members, member{id: id})
				}
				p.groups[g.name] = g
			}
		}
		for range 10 {
			rich := balance{model: small, have: 5 * c.fabrics, target: float64(5 * c.fabrics)}
			p.yield(balance{model: large, target: c.target}, []balance{rich}, map[string][]Unit{}, w)
		}
		is.Equal(len(p.kept), c.want)
		ending := 0
		for _, g := range p.groups {
			if g.stage == closing {
				ending++
			}
		}
		is.Equal(ending, 2*c.want) // two pairs make a group of four
	}
}
