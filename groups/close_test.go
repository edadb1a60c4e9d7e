package groups

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
)

// A group that closes is left only once its leader's requests have finished, as long as
// the platform lets these run. The leader was ordered to leave after 1.5 s, which cut
// streams (issue 23).
func TestClosingGroupFinishesItsRequests(t *testing.T) {
	is := is.New(t)
	snap, p, g := slowCase(0)
	leader := func(phase site.Phase) Snapshot {
		e := snap.Endpoints["a"]
		e.State.Member.Phase = phase
		e.Report, e.StateAt, e.ReportAt = e.State, snap.Now, snap.Now
		snap.Endpoints["a"] = e
		return snap
	}
	p.retire(g, snap, "gives way to model small")
	for range 9 {
		snap.Now += time.Second
		is.Equal(len(p.close(g, leader(site.Closing))), 0)
		is.Equal(g.stage, closing)
	}
	snap.Now += time.Second
	orders := p.close(g, leader(site.Ready))
	is.Equal(g.stage, ending)
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Order.Verb, platform.Leave)
}
