package pick

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/site"
)

// What is explained must be what is done: the request goes to the endpoint that has a share,
// and the explanation itself changes nothing.
func TestExplanationIsWhatIsDone(t *testing.T) {
	is := is.New(t)
	p := newFixture("a", "b", "c")
	p.Update([]gossip.Message{{From: site.Daemon{ID: "other"}, Endpoints: map[string]gossip.EndpointLoad{"a": {Running: 2}, "b": {Stalled: true}}}}, nil)
	request := Request{Service: "s", Model: "m", Remaining: time.Second, MaxWait: time.Second}
	before := p.Report()
	found := p.Explain(request)
	is.Equal(p.Report(), before)
	is.Equal(len(found.Options), 3)
	is.Equal(found.Options[0].Reason, "no slot")
	is.Equal(found.Options[1].Reason, "stalled or suspected")
	is.Equal(found.Options[2].Reason, "")
	is.True(found.Options[2].Share > 0.99)
	is.True(found.Served)
	slot, err := p.Acquire(t.Context(), request)
	is.NoErr(err)
	is.Equal(slot.Endpoint.ID, "c")
	slot.Done(false)
}

// Nothing is known of the service: the explanation says so, and is no crash.
func TestExplanationOfAnUnknownService(t *testing.T) {
	is := is.New(t)
	found := newFixture("a").Explain(Request{Service: "unknown", Model: "m"})
	is.Equal(len(found.Options), 0)
	is.True(!found.Served)
}
