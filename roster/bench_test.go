package roster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"clementinehead.example/chead/wire"
)

// newFilledRoster returns a roster that knows n daemons.
func newFilledRoster(n int, client func(string) wire.RosterClient) *Roster {
	r := New(Options{
		Self: daemon("d000", 1, 0, alive), Client: client, Log: logr.Discard(), Rand: rand.New(rand.NewPCG(1, 1)),
		Digest: func() *wire.Digest { return &wire.Digest{Hash: 1, Revision: 1, Ready: true} },
	})
	for i := range n {
		r.table.set(daemon(fmt.Sprintf("d%03d", i), 1, 0, alive), time.Now())
		r.table.stopSpreading(fmt.Sprintf("d%03d", i))
	}
	return r
}

// BenchmarkHeartbeat measures one heartbeat over loopback; the processor time is
// that of both ends together.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{9, 60, 410} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			mux := http.NewServeMux()
			mux.Handle(newFilledRoster(n, nil).Handler())
			server := httptest.NewServer(mux)
			defer server.Close()
			client := Dial(server.Client(), server.Listener.Addr().String())
			r := newFilledRoster(n, func(string) wire.RosterClient { return client })
			b.ReportAllocs()
			for b.Loop() {
				if !r.heartbeat(context.Background(), "d001:7000") {
					b.Fatal("not answered")
				}
			}
		})
	}
}

// BenchmarkNextPeers measures choosing the recipients of one round of
// heartbeats.
func BenchmarkNextPeers(b *testing.B) {
	for _, n := range []int{9, 60, 410} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newFilledRoster(n, nil)
			for b.Loop() {
				r.nextPeers()
			}
		})
	}
}

// BenchmarkMergeList measures merging the whole roster of a peer.
func BenchmarkMergeList(b *testing.B) {
	for _, n := range []int{9, 60, 410} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := newFilledRoster(n, nil).Daemons()
			for b.Loop() {
				r := newFilledRoster(1, nil)
				r.mergeList(list)
			}
		})
	}
}
