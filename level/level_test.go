package level

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

func TestFill(t *testing.T) {
	for _, c := range []struct {
		name      string
		endpoints []Endpoint
		n         float64
		want      []float64
	}{
		{"none", nil, 3, nil},
		{"no requests", []Endpoint{{0, 1, 9}, {1, 1, 9}}, 0, []float64{0, 0}},
		{"few go to the lowest", []Endpoint{{0, 1, 9}, {2, 1, 9}}, 1, []float64{1, 0}},
		{"many level all", []Endpoint{{0, 1, 9}, {2, 1, 9}, {4, 1, 9}}, 9, []float64{5, 3, 1}},
		{"a slow one rises faster", []Endpoint{{0, 1, 9}, {0, 4, 9}}, 5, []float64{4, 1}},
		{"a full one takes no more", []Endpoint{{0, 1, 2}, {0, 1, 9}}, 6, []float64{2, 4}},
		{"less room than requests", []Endpoint{{0, 1, 2}, {5, 1, 1}}, 9, []float64{2, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := Fill(c.endpoints, c.n)
			is.Equal(len(got), len(c.want))
			for i, want := range c.want {
				is.True(math.Abs(got[i]-want) < 1e-9)
			}
		})
	}
}

func TestDraw(t *testing.T) {
	is := is.New(t)
	is.Equal(Draw([]float64{0, 0}, 0.5), -1)
	is.Equal(Draw([]float64{0, 2, 0, 2}, 0), 1)
	is.Equal(Draw([]float64{0, 2, 0, 2}, 0.49), 1)
	is.Equal(Draw([]float64{0, 2, 0, 2}, 0.5), 3)
	is.Equal(Draw([]float64{0, 2, 0}, math.Nextafter(1, 0)), 1)
}
