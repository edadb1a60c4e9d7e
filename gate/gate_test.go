package gate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/wire"
)

// TestWaits shows how a wait at a gate ends: by a permit, by its time, by the
// caller's leaving, and by the gate's end.
func TestWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := sizedGate(1, 1)
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- g.Run(ctx) }()
		time.Sleep(ClaimWait + time.Second)
		ask := func(ctx context.Context) chan wire.Verdict {
			verdict := make(chan wire.Verdict, 1)
			go func() {
				r := request("a")
				r.Replica = "r0"
				response, err := g.Acquire(ctx, r)
				if err != nil {
					verdict <- waits
					return
				}
				verdict <- response.Verdict
			}()
			synctest.Wait()
			return verdict
		}
		for range 64 {
			is.Equal(<-ask(t.Context()), granted)
		}
		late := ask(t.Context())
		leaving, leave := context.WithCancel(t.Context())
		left := ask(leaving)
		leave()
		is.Equal(<-left, waits)
		is.Equal(g.Status()[0].Queued, 1)
		is.Equal(<-late, busy)
		is.Equal(g.Status()[0].Queued, 0)
		next := ask(t.Context())
		_, err := g.Release(t.Context(), &wire.ReleaseRequest{
			Replica: "r0", Permit: g.onePermit(), Ending: wire.Ending_ENDING_COMPLETE,
		})
		is.NoErr(err)
		is.Equal(<-next, granted)
		last := ask(t.Context())
		stop()
		is.Equal(<-last, notGate)
		is.NoErr(<-ended)
	})
}

// onePermit returns the number of one permit in use.
func (g *Gate) onePermit() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range g.posts["r0"].core.ledger.held {
		return id
	}
	return 0
}
