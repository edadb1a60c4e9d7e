package gossip

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"clementinehead.example/chead/site"
)

// limitMessage returns a message with what is known of the limit of the endpoint e.
func limitMessage(from string, scope Scope, l Limit) Message {
	return Message{
		From: site.Daemon{ID: from, Domain: "north", Peer: from}, Scope: scope, Relay: "",
		Endpoints: map[string]EndpointLoad{"e": {Sent: 1, Limit: l}},
	}
}

// The age of a limit grows while a message lies here, so that a later statement of the
// endpoint goes before it wherever both arrive.
func TestLimitAgesOnTheWay(t *testing.T) {
	is := is.New(t)
	now := time.Minute
	g := New(Options{
		Self: site.Daemon{ID: "a", Domain: "north"}, Boot: func() time.Duration { return now }, Receive: func(Message) {},
		Listed: func() map[string]site.Daemon { return nil }, Log: logr.Discard(),
	})
	g.handle(limitMessage("b", Own, Limit{Started: 7, Rate: 5, Age: 100}))
	now += 300 * time.Millisecond
	alive := g.Alive()
	is.Equal(alive[0].Endpoints["e"].Limit, Limit{Started: 7, Rate: 5, Age: 401})
	g.handle(limitMessage("c", Own, Limit{Started: 7, Ended: true, Age: 200}))
	now += 100 * time.Millisecond
	sum := emptySum(Message{})
	for _, m := range g.Alive() {
		sum.add(m)
	}
	is.Equal(sum.Endpoints["e"], EndpointLoad{Sent: 2, Limit: Limit{Started: 7, Ended: true, Age: 301}})
	is.Equal(g.peers["b"].message.Endpoints["e"].Limit.Age, 100) // as it was received
}

// Of two limits the one of the later life counts, and within a life the younger one.
func TestNewestLimit(t *testing.T) {
	none := Limit{}
	old := Limit{Started: 7, Rate: 5, Age: 900}
	young := Limit{Started: 7, Rate: 3, Age: 20}
	earlier := Limit{Started: 6, Rate: 1, Age: 1}
	for _, c := range []struct {
		name       string
		a, b, want Limit
	}{
		{"nothing known", none, none, none},
		{"one known", none, old, old},
		{"younger", old, young, young},
		{"later life", earlier, old, old},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.a.newest(c.b), c.want)
			is.Equal(c.b.newest(c.a), c.want)
		})
	}
}
