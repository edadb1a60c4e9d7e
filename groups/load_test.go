package groups

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
)

// cold returns a world of endpoints that are outside of groups and have nothing
// on their hosts.
func cold(n int) World {
	w := World{Now: time.Minute, Engine: labEngine, Begun: true, Units: map[string]Unit{}}
	for i := range n {
		id := fmt.Sprintf("e%02d", i)
		state := site.State{Born: 1, Fabric: "f0"}
		w.Units[id] = Unit{Endpoint: site.Endpoint{ID: id, State: state}, Usable: true, At: w.Now, Report: state, Counted: w.Now}
	}
	return w
}

// After a loss of power all hosts are empty. The store of weights bears a rate,
// and is shared by those that load at once.
func TestLoadsAreBounded(t *testing.T) {
	is := is.New(t)
	w := cold(60)
	p := NewPlanner(1, nil)
	p.count(w)
	var starts []time.Duration
	most := 0
	for range 300 {
		w.Now += labTick
		for _, o := range p.stageModels(w) {
			is.Equal(o.Order.Verb, platform.Stage)
			starts = append(starts, w.Now)
		}
		most = max(most, len(p.loads))
		for id, l := range p.loads {
			if u := w.Units[id]; w.Now-l.at >= l.model.Load {
				u.State.Staged = []string{l.model.Name}
				w.Units[id] = u
			}
		}
	}
	const window = 5 * time.Second
	for i := range starts {
		n := 0
		for _, at := range starts[i:] {
			if at-starts[i] < window {
				n++
			}
		}
		is.True(float64(n) <= labEngine.LoadRate*window.Seconds())
	}
	is.Equal(most, labEngine.Loads) // as many as it bears, no more
	is.True(len(starts) >= 2*labEngine.Loads)
}

// A yield frees endpoints for a model that is worst off. Until they are all free,
// or the time is over, the better off model may not take them back.
func TestEndpointsOfAYieldAreKept(t *testing.T) {
	is := is.New(t)
	small := labEngine.Models[1]
	w := cold(2)
	p := NewPlanner(1, map[string]string{"e00": "small", "e01": "small"})
	p.count(w)
	free := map[string][]Unit{"f0": {w.Units["e00"], w.Units["e01"]}}
	is.Equal(len(p.choose(free, small, w)), 2)
	p.kept["f0"] = claim{model: "large", until: w.Now + reservation}
	is.Equal(len(p.choose(free, small, w)), 0)
	p.form(w)
	is.Equal(len(p.kept), 1)
	w.Now += reservation + labTick
	p.form(w)
	is.Equal(len(p.kept), 0)
	is.Equal(len(p.choose(free, small, w)), 2)
}
