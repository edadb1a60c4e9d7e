package edge

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

// BenchmarkStreams sends streams of 30 events through the daemons and starts one every
// 20 ms, so the time of an operation is at least that and does not show the cost of a
// stream. Use -cpuprofile to see the CPU time of the daemons; the profile includes the
// simulated store and runners and the caller.
func BenchmarkStreams(b *testing.B) {
	t := &testing.T{}
	c := newCluster(t, 12, 3)
	defer c.close()
	for len(c.addresses(0)) < 3 {
		time.Sleep(50 * time.Millisecond)
	}
	for status := 0; status != http.StatusOK; {
		status, _ = c.call(c.daemons[0].Caller, "/talk/", c.nextID(), "good-key")
	}
	var calls sync.WaitGroup
	b.ResetTimer()
	for i := range b.N {
		calls.Go(func() { c.call(c.daemons[i%3].Caller, "/talk/", "b"+strconv.Itoa(i), "good-key") })
		time.Sleep(20 * time.Millisecond)
	}
	calls.Wait()
}
