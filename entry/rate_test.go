package entry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/wire"
)

// TestRateOfAllReplicas has one replica turn the account away for its part of
// the rate, then both.
func TestRateOfAllReplicas(t *testing.T) {
	within(t, 1, document(), fakes.EngineOptions{}, func(w *world) {
		is := is.New(w.t)
		backs := map[string]time.Duration{"r0": 7 * time.Second}
		w.gates.Verdict = func(r *wire.AcquireRequest) *wire.AcquireResponse {
			back, over := backs[r.GetReplica()]
			if !over {
				return nil
			}
			return &wire.AcquireResponse{Verdict: wire.Verdict_VERDICT_THROTTLED, RetryAfter: durationpb.New(back)}
		}
		is.True(w.send(ask{prompt: "p"}).whole)
		is.Equal(w.engines[1].PromptRuns("p"), 1)
		backs["r1"] = 3 * time.Second
		refused := w.send(ask{prompt: "q"})
		is.Equal(refused.reason.Code, "throttled")
		is.Equal(refused.header.Get("Retry-After"), "3")
	})
}
