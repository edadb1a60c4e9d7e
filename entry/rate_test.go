package entry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/wire"
)

// TestRateOfAllReplicas has one replica refuse the account for its share of the
// rate, then both.
func TestRateOfAllReplicas(t *testing.T) {
	withCluster(t, 1, document(), fakes.EngineOptions{}, func(cl *cluster) {
		is := is.New(cl.t)
		retryAfters := map[string]time.Duration{"r0": 7 * time.Second}
		cl.gates.Verdict = func(r *wire.AcquireRequest) *wire.AcquireResponse {
			retryAfter, over := retryAfters[r.GetReplica()]
			if !over {
				return nil
			}
			return &wire.AcquireResponse{Verdict: wire.Verdict_VERDICT_THROTTLED, RetryAfter: durationpb.New(retryAfter)}
		}
		is.True(cl.send(request{prompt: "p"}).complete)
		is.Equal(cl.engines[1].PromptRuns("p"), 1)
		retryAfters["r1"] = 3 * time.Second
		refused := cl.send(request{prompt: "q"})
		is.Equal(refused.reason.Code, "throttled")
		is.Equal(refused.header.Get("Retry-After"), "3")
	})
}
