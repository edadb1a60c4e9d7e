package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Whatever the grace period is: requests are taken until 3/8 of it and 3 s at the most,
// endpoints have until its last sixth, and the process ends before its end, even if its
// record can't be removed.
func TestStopTimes(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 8 * time.Second, time.Minute} {
		t.Run(grace.String(), func(t *testing.T) {
			is := is.New(t)
			s := newStopTimes(grace)
			late := min(500*time.Millisecond, grace/16) // the signal, where processor time is short
			is.True(s.refuse > grace/100 && s.refuse+late <= min(3*time.Second, grace*3/8))
			is.True(s.refuse < s.listen && s.listen < s.answer)
			is.True(s.answer > grace*5/6 && s.answer < s.cut)
			is.True(max(s.cut+2*s.settle, s.answer+s.record) < grace)
		})
	}
}
