package gate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/wire"
)

// TestWaitEndings checks the ends of a wait at a gate: by a permit, by a
// timeout, by cancellation of the caller, and by the end of the gate.
func TestWaitEndings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := sizedGate(1, 1)
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- g.Run(ctx) }()
		time.Sleep(ClaimWait + time.Second)
		acquire := func(ctx context.Context) chan wire.Verdict {
			verdict := make(chan wire.Verdict, 1)
			go func() {
				r := request("a")
				r.Replica = "r0"
				response, err := g.Acquire(ctx, r)
				if err != nil {
					verdict <- waits // stands for an error
					return
				}
				verdict <- response.Verdict
			}()
			synctest.Wait()
			return verdict
		}
		for range 64 { // the limit of sizedGate's replicas
			is.Equal(<-acquire(t.Context()), granted)
		}
		timedOut := acquire(t.Context())
		cancellable, cancel := context.WithCancel(t.Context())
		cancelled := acquire(cancellable)
		cancel()
		is.Equal(<-cancelled, waits)
		is.Equal(g.Status()[0].Queued, 1)
		is.Equal(<-timedOut, busy)
		is.Equal(g.Status()[0].Queued, 0)
		next := acquire(t.Context())
		_, err := g.Release(t.Context(), &wire.ReleaseRequest{
			Replica: "r0", Permit: g.onePermit(), Ending: wire.Ending_ENDING_COMPLETE,
		})
		is.NoErr(err)
		is.Equal(<-next, granted)
		last := acquire(t.Context())
		stop()
		is.Equal(<-last, notGate)
		is.NoErr(<-ended)
	})
}

// onePermit returns the id of one permit in use.
func (g *Gate) onePermit() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range g.gates["r0"].core.ledger.held {
		return id
	}
	return 0
}
