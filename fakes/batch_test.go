package fakes

import (
	"testing"

	"github.com/matryer/is"
)

func TestBatchOrder(t *testing.T) {
	newTestJob := func(id string) *job { return &job{id: id, admitted: make(chan struct{})} }
	urgent := newTestJob("b")
	urgent.priority = 1
	solitary := newTestJob("a")
	solitary.alone = true
	tests := []struct {
		name string
		jobs []*job // that arrive while jobs x and y fill the batch
		want []string
	}{
		{"in order of arrival", []*job{newTestJob("a"), newTestJob("b")}, []string{"x y", "y a", "a b", "b"}},
		{"by priority", []*job{newTestJob("a"), urgent, newTestJob("c")}, []string{"x y", "y b", "b a", "a c", "c"}},
		{"alone", []*job{solitary, newTestJob("b")}, []string{"x y", "y", "a", "b"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b := batch{size: 2}
			for _, j := range append([]*job{newTestJob("x"), newTestJob("y")}, test.jobs...) {
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
