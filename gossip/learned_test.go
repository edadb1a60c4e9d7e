package gossip

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// learnedOf returns what samples at two loads show of the endpoint e.
func learnedOf(started int64, age, samples int) Learned {
	l := Learned{Started: started, Age: age}
	for i := range samples {
		l.Gaps.Add(4+i%2, 50*time.Millisecond, 0)
	}
	return l
}

// What several daemons saw in one life of an endpoint adds up, and a follower takes its own
// part out of its relay's sum; what was seen in an earlier life doesn't count.
func TestLearnedAddsUp(t *testing.T) {
	for _, c := range []struct {
		name       string
		a, b, want Learned
	}{
		{"nothing known", Learned{}, Learned{}, Learned{}},
		{"one known", Learned{}, learnedOf(7, 20, 4), learnedOf(7, 20, 4)},
		{"both", learnedOf(7, 900, 4), learnedOf(7, 20, 8), learnedOf(7, 20, 12)},
		{"earlier life", learnedOf(6, 10, 4), learnedOf(7, 20, 8), learnedOf(7, 20, 8)},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.a.Plus(c.b), c.want)
			is.Equal(c.b.Plus(c.a), c.want)
		})
	}
	is := is.New(t)
	own := limitMessage("a", Own, Limit{})
	own.Endpoints["e"] = EndpointLoad{Learned: learnedOf(7, 20, 4)}
	sum := limitMessage("r", All, Limit{})
	sum.Endpoints["e"] = EndpointLoad{Learned: learnedOf(7, 20, 12)}
	is.Equal(sum.without(own).Endpoints["e"].Learned, learnedOf(7, 20, 8))
	own.Endpoints["e"] = EndpointLoad{Learned: learnedOf(7, 20, 13)} // it has seen more since
	is.Equal(sum.without(own).Endpoints["e"].Learned, Learned{})
}

// What is passed on weighs less and is older the longer it is on the way, so that what a
// daemon said that is heard no more ends.
func TestLearnedFadesOnTheWay(t *testing.T) {
	is := is.New(t)
	m := limitMessage("b", Own, Limit{})
	m.Endpoints["e"] = EndpointLoad{Learned: learnedOf(7, 20, 8)}
	later := m.aged(1500 * time.Millisecond).Endpoints["e"].Learned
	is.Equal(later.Age, 1521)
	is.Equal(later.Gaps.Samples, 4.0)
	is.Equal(m.Endpoints["e"].Learned.Gaps.Samples, 8.0) // as it was received
	data, err := encode(limitMessage("b", Own, Limit{}))
	is.NoErr(err)
	got, err := decode(data)
	is.NoErr(err)
	is.True(!got.Endpoints["e"].Learned.Known()) // a build that knows nothing of it
}
