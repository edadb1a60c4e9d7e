package fakes

import (
	"testing"

	"github.com/matryer/is"
)

func TestBatchOrder(t *testing.T) {
	plain := func(id string) *job { return &job{id: id, admitted: make(chan struct{})} }
	urgent := plain("b")
	urgent.priority = 1
	solitary := plain("a")
	solitary.alone = true
	tests := []struct {
		name string
		jobs []*job // that arrive while two others fill the batch
		want []string
	}{
		{"in order of arrival", []*job{plain("a"), plain("b")}, []string{"x y", "y a", "a b", "b"}},
		{"by priority", []*job{plain("a"), urgent, plain("c")}, []string{"x y", "y b", "b a", "a c", "c"}},
		{"alone", []*job{solitary, plain("b")}, []string{"x y", "y", "a", "b"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b := batch{size: 2}
			for _, j := range append([]*job{plain("x"), plain("y")}, test.jobs...) {
				b.add(j)
			}
			var seen []string
			for len(b.running) > 0 {
				seen = append(seen, ids(b.running))
				b.remove(b.running[0])
			}
			is.Equal(seen, test.want)
		})
	}
}

func ids(jobs []*job) string {
	text := ""
	for i, j := range jobs {
		if i > 0 {
			text += " "
		}
		text += j.id
	}
	return text
}
