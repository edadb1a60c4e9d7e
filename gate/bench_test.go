package gate

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/types/known/durationpb"

	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/edit"
	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/store"
	"clementinehead.example/chead/view"
	"clementinehead.example/chead/wire"
)

// sizes are the sizes of the system from the present one to the target.
var sizes = []struct{ replicas, daemons int }{{15, 9}, {50, 60}, {150, 410}}

// sizedGate returns a Gate in a system of the given size. It is the gate of
// every replica whose number is a multiple of the number of daemons.
func sizedGate(replicas, daemons int) *Gate {
	document := conf.Document{
		Groups:   map[string]conf.Group{"g": {Model: "m"}},
		Capacity: conf.Capacity{Ramp: conf.Ramp{Start: 64, Step: 1, Full: 64}},
	}
	fabric := fleet.Fabric{Name: "f", Domain: "z"}
	for i := range replicas {
		r := fleet.Replica{
			ID: fmt.Sprintf("r%d", i), Group: "g", State: chart.Serving, Fence: 5, Gate: fmt.Sprintf("d%d", i%daemons),
		}
		for j := range 4 {
			address := fmt.Sprintf("i%d-%d:1", i, j)
			r.Members = append(r.Members, fleet.Member{Instance: address, Address: address, Boot: 7})
		}
		fabric.Replicas = append(fabric.Replicas, r)
	}
	entries := map[string]store.Entry{}
	for key, value := range map[string]any{fleet.ConfKey: edit.Envelope{Document: document}, fleet.Key("f"): fabric} {
		data, _ := json.Marshal(value)
		entries[key] = store.Entry{Key: key, Value: data, Revision: 1}
	}
	v, err := view.New(entries)
	if err != nil {
		panic(err)
	}
	var roster []*wire.Daemon
	for i := range daemons {
		roster = append(roster, &wire.Daemon{Id: fmt.Sprintf("d%d", i), Standing: wire.Standing_STANDING_ALIVE})
	}
	return New(Options{
		Self: "d0", Boot: 1, Log: logr.Discard(), Rand: rand.New(rand.NewPCG(1, 1)),
		View:       func() *view.View { return v },
		Changed:    func() <-chan struct{} { return nil },
		Daemons:    func() []*wire.Daemon { return roster },
		VerifiedAt: time.Now,
		Probe:      func(context.Context, string) (engine.Report, error) { return ready(0), nil },
		Feed: func(context.Context, string, uint64) (engine.Feed, error) {
			return engine.Feed{}, errors.New("none")
		},
	})
}

// BenchmarkPermit measures the granting and release of a permit, with half of
// the permits in use.
func BenchmarkPermit(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("replicas=%d/daemons=%d", size.replicas, size.daemons), func(b *testing.B) {
			g := sizedGate(size.replicas, size.daemons)
			ctx, cancel := context.WithCancel(b.Context())
			group, running := errgroup.WithContext(ctx)
			group.Go(func() error { return g.Run(running) })
			request := &wire.AcquireRequest{
				Replica: "r0", Daemon: "d1", Account: "a", Tokens: 100, Prefix: []uint64{1, 2, 3, 4, 5, 6, 7, 8},
				Wait: durationpb.New(time.Second),
			}
			for response, _ := g.Acquire(ctx, request); response.Verdict != granted; {
				time.Sleep(ProbeEvery)
				response, _ = g.Acquire(ctx, request)
			}
			for range 31 {
				_, _ = g.Acquire(ctx, request)
			}
			release := &wire.ReleaseRequest{Replica: "r0", Ending: wire.Ending_ENDING_COMPLETE}
			b.ReportAllocs()
			for b.Loop() {
				response, _ := g.Acquire(ctx, request)
				release.Permit = response.Permit
				_, _ = g.Release(ctx, release)
			}
			b.StopTimer()
			cancel()
			_ = group.Wait()
		})
	}
}

// BenchmarkAdmit measures the decision on a request that has to wait behind the
// queued requests of ten accounts, and its withdrawal.
func BenchmarkAdmit(b *testing.B) {
	for _, queued := range []int{0, 16, 63} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			c := openCore(start, testSetup(conf.Ramp{Start: 1, Step: 1, Full: 1}, nil), 0)
			verdicts(c, start, 1, request("a"))
			for i := range queued {
				verdicts(c, start, 1, request(fmt.Sprintf("account%d", i%10)))
			}
			r := request("b")
			b.ReportAllocs()
			for b.Loop() {
				id, _ := c.Acquire(start, r)
				c.Abandon(id)
			}
		})
	}
}

// BenchmarkRefresh measures the update to the view and the roster, which a
// daemon does every tickEvery.
func BenchmarkRefresh(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("replicas=%d/daemons=%d", size.replicas, size.daemons), func(b *testing.B) {
			g := sizedGate(size.replicas, size.daemons)
			ctx, cancel := context.WithCancel(b.Context())
			var group errgroup.Group
			b.ReportAllocs()
			for b.Loop() {
				g.refresh(ctx, &group)
			}
			b.StopTimer()
			cancel()
			_ = group.Wait()
		})
	}
}
