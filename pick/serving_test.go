package pick

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/site"
	"clementinehead.example/chead/watch"
)

// What serves a model follows each new snapshot and each announcement, though it is kept
// between them.
func TestServingFollowsChanges(t *testing.T) {
	is := is.New(t)
	p := newFixture("a", "b")
	ids := func() []string {
		var ids []string
		for _, e := range p.eligible(Request{Service: "s", Model: "m"}) {
			ids = append(ids, e.ID)
		}
		return ids
	}
	is.Equal(ids(), []string{"a", "b"})
	p.recordGroups(map[string]gossip.Group{"a": {Name: "a", Epoch: 2, Model: "m", Open: false}})
	is.Equal(ids(), []string{"b"})
	p.recordGroups(map[string]gossip.Group{"a": {Name: "a", Epoch: 3, Model: "m", Open: true}})
	is.Equal(ids(), []string{"a", "b"})
	first := p.options.Snapshot()
	next := &watch.Snapshot{Config: first.Config, Endpoints: map[string]site.Endpoint{"a": first.Endpoints["a"]}}
	p.options.Snapshot = func() *watch.Snapshot { return next }
	is.Equal(ids(), []string{"a"})
}

// BenchmarkAcquire760 is the cost of a slot where 760 endpoints lead groups that the
// keeper has not announced, as after a change of the keeper.
func BenchmarkAcquire760(b *testing.B) {
	ids := make([]string, 760)
	for i := range ids {
		ids[i] = fmt.Sprintf("i-%03d", i)
	}
	p := newFixture(ids...)
	for b.Loop() {
		slot, err := p.Acquire(b.Context(), Request{Service: "s", Model: "m"})
		if err != nil {
			b.Fatal(err)
		}
		slot.Done(false)
	}
}
