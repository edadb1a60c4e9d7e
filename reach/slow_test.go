package reach

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An answer that came while endpoints were asked must not be passed over, though further
// connections failed after it (issue 32: cut off with one reached 105 ms before).
func TestAnswerDuringARoundIsPassedOver(t *testing.T) {
	run(t, "reached, then failures", 60, func(is *is.I, r *rig) {
		r.find(world{dead: 60, hangs: true})
		r.Failed("a")
		r.Failed("b")
		time.Sleep(ProbeTimeout - 100*time.Millisecond)
		r.Reached()
		r.Failed("a")
		r.Failed("b")
		time.Sleep(101 * time.Millisecond)
		is.True(r.State() != Cut)
	})
}
