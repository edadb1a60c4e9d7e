package edge

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

// BenchmarkStreams measures a stream of 30 events through a daemon, including the
// simulated store and runners and the caller. Use -cpuprofile to see the CPU
// time of the daemons.
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
