package pick

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A successor takes a free slot elsewhere without waiting, and counts as a retry
// unless it is given back.
func TestSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFixture("a", "b")
		p.options.Budget = func() Budget { return Budget{Extra: 1, Window: 10 * time.Second} }
		request := engineRequest
		request.Avoid = map[string]bool{"a": true}
		first, decision := p.Successor(request)
		is.True(decision.Allowed)
		is.Equal(first.Endpoint.ID, "b")
		second, decision := p.Successor(request)
		is.True(second == nil)
		is.True(!decision.Allowed) // the first is counted
		first.Cancel()
		first.Cancel() // no effect
		is.Equal(len(p.Report().Endpoints), 0)
		second, decision = p.Successor(request)
		is.True(decision.Allowed)
		is.Equal(second.Endpoint.ID, "b")
		second.Done(false)
		is.True(!p.AllowRetry("s").Allowed) // a used one stays counted

		time.Sleep(10 * time.Second)
		request.Avoid["b"] = true
		none, decision := p.Successor(request)
		is.True(none == nil)
		is.True(decision.Allowed)
		is.True(p.AllowRetry("s").Allowed) // nothing was counted
	})
}
