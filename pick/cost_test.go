package pick

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/gossip"
)

// newColdFixture returns a Placer with n endpoints that must not get many requests while they
// are cold, and the number of times that it asked how many daemons there are.
func newColdFixture(n int) (p *Placer, asked *int) {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("i-%03d", i)
	}
	p = newFixture(ids...)
	service := p.options.Snapshot().Config.Services["s"]
	service.ColdRate = 2
	p.options.Snapshot().Config.Services["s"] = service
	asked = new(int)
	p.options.Daemons = func() int { *asked++; return 295 }
	return p, asked
}

// All daemons were counted for each endpoint that a request could go to, a third of what a
// daemon with requests allocated.
func TestDaemonsAreNotCountedForEachEndpoint(t *testing.T) {
	is := is.New(t)
	p, asked := newColdFixture(100)
	slot, err := p.Acquire(t.Context(), Request{Service: "s", Model: "m", MaxWait: time.Second})
	is.NoErr(err)
	slot.Done(false)
	is.True(*asked <= 1)
}

// BenchmarkAcquireCold is the cost of a slot at one of 100 endpoints of a model, as of 760
// endpoints in groups of eight and four.
func BenchmarkAcquireCold(b *testing.B) {
	p, _ := newColdFixture(100)
	b.ReportAllocs()
	for b.Loop() {
		slot, err := p.Acquire(b.Context(), Request{Service: "s", Model: "m"})
		if err != nil {
			b.Fatal(err)
		}
		slot.Done(false)
	}
}

// BenchmarkUpdate760 is the cost of taking over what 294 other daemons report of 760
// endpoints, ten times a second.
func BenchmarkUpdate760(b *testing.B) {
	p, _ := newColdFixture(760)
	sum := gossip.Message{Endpoints: map[string]gossip.EndpointLoad{}, Queues: map[string]gossip.Queue{"s/m": {ArrivalRate: 800, FreeRate: 900}}}
	for id := range p.options.Snapshot().Endpoints {
		sum.Endpoints[id] = gossip.EndpointLoad{Running: 3, UnreadTokens: 700}
	}
	messages := append([]gossip.Message{sum}, make([]gossip.Message, 294)...)
	b.ReportAllocs()
	for b.Loop() {
		p.Update(messages, nil)
	}
}

// BenchmarkReport760 is the cost of a daemon's own report, five times a second.
func BenchmarkReport760(b *testing.B) {
	p, _ := newColdFixture(760)
	for id := range p.options.Snapshot().Endpoints {
		p.endpoint(id)
	}
	b.ReportAllocs()
	for b.Loop() {
		p.Report()
	}
}
