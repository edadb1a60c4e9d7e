package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/types/known/durationpb"

	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/edit"
	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/entry"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/route"
	"clementinehead.example/chead/store"
	"clementinehead.example/chead/tally"
	"clementinehead.example/chead/view"
	"clementinehead.example/chead/wire"
)

// throttling is a gate that refuses every request, so that it ends with the
// decision.
type throttling struct{ granting }

func (throttling) Acquire(context.Context, *wire.AcquireRequest) (*wire.AcquireResponse, error) {
	return &wire.AcquireResponse{Verdict: wire.Verdict_VERDICT_THROTTLED, RetryAfter: durationpb.New(0)}, nil
}

// size is the size of a deployment.
type size struct{ replicas, daemons, domains int }

func (s size) String() string { return fmt.Sprintf("replicas=%d,daemons=%d", s.replicas, s.daemons) }

// view returns a view of replicas of 4 instances each, 15 replicas to a group.
func (s size) view(b *testing.B) *view.View {
	d := document()
	d.Domains = map[string]conf.Domain{}
	entries := map[string]store.Entry{}
	for i := range s.domains {
		d.Domains[s.domain(i)] = conf.Domain{Region: fmt.Sprint("region-", i%3)}
		f := fleet.Fabric{Name: fmt.Sprint("f", i), Domain: s.domain(i)}
		for n := i; n < s.replicas; n += s.domains {
			group := fmt.Sprint("g", n/15)
			d.Groups[group] = conf.Group{Model: group, Version: "1", Size: 4, Accounts: []string{"desk"}}
			r := fleet.Replica{ID: fmt.Sprint("r", n), Group: group, State: chart.Serving, Gate: fmt.Sprint("d", n%s.daemons)}
			for m := range 4 {
				r.Members = append(r.Members, fleet.Member{Instance: fmt.Sprint("e", n, "-", m)})
			}
			f.Replicas = append(f.Replicas, r)
		}
		value, err := json.Marshal(f)
		if err != nil {
			b.Fatal(err)
		}
		entries[fleet.Key(f.Name)] = store.Entry{Key: fleet.Key(f.Name), Value: value, Revision: 1}
	}
	value, err := json.Marshal(edit.Envelope{Serial: 1, Document: d})
	if err != nil {
		b.Fatal(err)
	}
	entries[fleet.ConfKey] = store.Entry{Key: fleet.ConfKey, Value: value, Revision: 1}
	v, err := view.New(entries)
	if err != nil {
		b.Fatal(err)
	}
	return v
}

func (size) domain(i int) string { return fmt.Sprint("domain-", i) }

func (s size) entry(b *testing.B) *entry.Entry {
	v := s.view(b)
	var daemons []*wire.Daemon
	known := map[string]*wire.Daemon{}
	for i := range s.daemons {
		d := &wire.Daemon{
			Id: fmt.Sprint("d", i), Standing: wire.Standing_STANDING_ALIVE, PeerAddress: "p", CallerAddress: fmt.Sprint("c", i),
			Domain: s.domain(i % s.domains), Region: fmt.Sprint("region-", i%s.domains%3),
		}
		daemons = append(daemons, d)
		known[d.Id] = d
	}
	router := route.New(route.Options{})
	return entry.New(entry.Options{
		Self: "d0", Domain: s.domain(0), Boot: 1,
		View:    func() *view.View { return v },
		Daemons: func() []*wire.Daemon { return daemons },
		Find:    func(id string) (*wire.Daemon, bool) { d, ok := known[id]; return d, ok },
		Order:   router.Order,
		Observe: router.Observe,
		Gate:    func(string) wire.GateClient { return throttling{} },
		Engine:  engine.New(nil),
		Count:   func(tally.Sample) {},
		Log:     logr.Discard(),
		Rand:    rand.New(rand.NewPCG(1, 1)),
	})
}

// BenchmarkDecide measures a request from its arrival to a gate's refusal, with
// the ordering of replicas, and an answer to GET /v1/entries.
func BenchmarkDecide(b *testing.B) {
	tests := []struct {
		name    string
		request request
		code    int
	}{
		{"request", request{body: `{"model":"g0","prompt":"draft a design brief for a gate"}`}, http.StatusTooManyRequests},
		{"entries", request{method: http.MethodGet, path: "/v1/entries"}, 0},
	}
	for _, test := range tests {
		for _, s := range []size{{15, 9, 3}, {75, 100, 11}, {150, 410, 11}} {
			b.Run(fmt.Sprint(test.name, "/", s), func(b *testing.B) {
				e := s.entry(b)
				b.ReportAllocs()
				for b.Loop() {
					r, err := test.request.httpRequest(b.Context())
					if err != nil {
						b.Fatal(err)
					}
					w := &discard{header: http.Header{}}
					e.ServeHTTP(w, r)
					if w.code != test.code {
						b.Fatal(w.code)
					}
				}
			})
		}
	}
}
