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
	editTarget       = 19 * time.Second // until an edit is in force on all daemons
	membershipTarget = 10 * time.Second // until all daemons know of a new or a dead one
	byteBudget       = 2048             // bytes per second and daemon, idle
	callBudget       = 100              // calls per second to the store by all daemons, during an outage and after it
	storeBudget      = 1000             // calls per second to the store by all daemons under constant change
	smallSize        = 60               // largest number of daemons that runs without -full
	settleTime       = time.Minute      // wait after a disturbance
	measureTime      = time.Minute      // duration of a measurement
	editCount        = 8
	configSize       = 40 << 10 // bytes of the configuration
)

var full = flag.Bool("full", false, "measure at 410 daemons, too; takes two minutes")

// report collects the measurements at one size, one line each.
type report struct {
	daemons, domains int
	lines            []string
	idle             float64 // bytes per second and daemon, sent and received, while nothing changes
}

func (r *report) add(what, format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf("%-64s "+format, append([]any{what}, args...)...))
}

// TestCapacity measures the cost of membership and of distributing documents by
// the number of daemons, on a fake clock, prints the results and compares them
// with the targets. The larger sizes need the flag -full.
func TestCapacity(t *testing.T) {
	for _, size := range []struct{ daemons, domains int }{{9, 3}, {60, 6}, {410, 11}} {
		if size.daemons > smallSize && !*full {
			t.Logf("%d daemons: not run without -full", size.daemons)
			continue
		}
		t.Run(fmt.Sprint(size.daemons), func(t *testing.T) {
			withCluster(t, uint64(size.daemons), func(t *testing.T, c *cluster) {
				is := is.New(t)
				r := &report{daemons: size.daemons, domains: size.domains}
				r.add("daemons, failure domains", "%d, %d", r.daemons, r.domains)
				c.measureStart(r)
				c.measureIdle(r)
				is.True(r.idle <= byteBudget)
				is.True(c.measureEdits(r, "edit in force everywhere: median, max") <= editTarget)
				c.setLoss(0.1)
				is.True(c.measureEdits(r, "the same, 10% of calls lost") <= editTarget)
				c.setLoss(0)
				time.Sleep(settleTime)
				is.Equal(c.measureLoss(r), 0) // live daemons reported as dead
				is.True(c.measureFabricWrites(r) <= storeBudget)
				is.True(c.measureOutage(r) <= callBudget)
				is.True(c.measureJoins(r) <= membershipTarget)
				is.True(c.measureDeaths(r) <= membershipTarget)
				t.Logf("\n%s", strings.Join(r.lines, "\n"))
			})
		})
	}
}
