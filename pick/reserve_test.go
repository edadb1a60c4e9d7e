package pick

import (
	"math"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// The place in the queue that a silent send holds is no reason to wait for its endpoint
// longer: the send gave the place up again at the next check.
func TestReservationDoesNotExtendPatience(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFixture("a")
		slot, err := p.Acquire(t.Context(), engineRequest)
		is.NoErr(err)
		slot.Progress(true)
		is.True(slot.Patience() < math.MaxInt64)
		request := engineRequest
		request.Avoid = map[string]bool{"a": true}
		reservation := p.Reserve(request, (*Slot).Cancel)
		is.True(slot.Patience() < math.MaxInt64)
		reservation.Cancel()
		slot.Done(false)
	})
}
