package roster_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	target      = 19 * time.Second // for an edit to be in force everywhere
	noticed     = 10 * time.Second // for a dead daemon to be known to all
	byteBudget  = 2048             // bytes a second and daemon
	callBudget  = 100              // the same in an outage and after it
	storeBudget = 1000             // calls a second to the store by all daemons under constant change
	quick       = 60               // daemons that are measured without -full
	settle      = time.Minute
	measured    = time.Minute
	editsTried  = 8
	content     = 40 << 10 // bytes of the configuration that is spread
)

var full = flag.Bool("full", false, "measure at 410 daemons, too; takes two minutes")

// report collects what is measured at one size, a line each.
type report struct {
	daemons, domains int
	lines            []string
	idle             float64 // bytes a second and daemon, sent and received, nothing changing
}

func (r *report) add(what, format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf("%-64s "+format, append([]any{what}, args...)...))
}

// TestCapacity prints what membership and dissemination cost by the number of
// daemons, on a false clock, and holds the figures against the targets. The
// larger sizes need the flag -full.
func TestCapacity(t *testing.T) {
	for _, size := range []struct{ daemons, domains int }{{9, 3}, {60, 6}, {410, 11}} {
		if size.daemons > quick && !*full {
			t.Logf("%d daemons: not run without -full", size.daemons)
			continue
		}
		t.Run(fmt.Sprint(size.daemons), func(t *testing.T) {
			inBubble(t, uint64(size.daemons), func(t *testing.T, c *cluster) {
				is := is.New(t)
				r := &report{daemons: size.daemons, domains: size.domains}
				r.add("daemons, failure domains", "%d, %d", r.daemons, r.domains)
				c.measureStart(r)
				c.measureIdle(r)
				is.True(r.idle <= byteBudget)
				is.True(c.measureEdits(r, "edit in force everywhere: median, max") <= target)
				c.setLoss(0.1)
				is.True(c.measureEdits(r, "the same, 10% of calls lost") <= target)
				c.setLoss(0)
				time.Sleep(settle)
				is.Equal(c.measureLoss(r), 0) // live daemons taken for dead
				is.True(c.measureStorm(r) <= storeBudget)
				is.True(c.measureOutage(r) <= callBudget)
				is.True(c.measureJoins(r) <= noticed)
				is.True(c.measureDeaths(r) <= noticed)
				t.Logf("\n%s", strings.Join(r.lines, "\n"))
			})
		})
	}
}
