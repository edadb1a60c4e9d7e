package edge

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Bounds of what an endpoint may get in limitSpan when it names a limit.
const (
	limitSpan    = 4 * time.Second
	limitFactor  = 1.5
	limitExtra   = 5               // requests
	limitNotice  = time.Second     // from the naming until it counts
	limitSettle  = 2 * time.Second // from the naming until the limit is to be used
	leastUsed    = 0.7             // part of the limit that is to be used while there is more to do
	limitPeriod  = 7 * time.Second // of one limit
	requestPause = 12 * time.Millisecond
)

// mostWithin returns the largest number of the times within a span that begins between
// two times, and the number within the span that ends at the second.
func mostWithin(times []time.Time, span time.Duration, from, to time.Time) (most, last int) {
	count := func(start time.Time) (n int) {
		for _, t := range times {
			if !t.Before(start) && t.Before(start.Add(span)) {
				n++
			}
		}
		return n
	}
	for _, t := range times {
		if !t.Before(from) && t.Before(to) {
			most = max(most, count(t))
		}
	}
	return most, count(to.Add(-span))
}

// An endpoint names the requests per second that it takes from all daemons together.
// Three daemons, the first of which gets most callers, send it hardly more, and hardly
// less, also when it names another limit. What it doesn't take is refused at once. Once
// it names none it gets all again.
func TestEndpointGetsMoreThanTheLimitItNames(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for some seconds")
	}
	is := is.New(t)
	c := newCluster(t, 0, 3)
	await(t, "all daemons serve", 10*time.Second, func() bool {
		for _, d := range c.daemons {
			if status, _ := c.call(d.Caller, "/file/", c.nextID(), "good-key"); status != http.StatusOK {
				return false
			}
		}
		return len(c.addresses(0)) == 3
	})
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	refused, slow := 0, 0
	callers.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(requestPause):
			}
			daemon := c.daemons[max(0, n%6-3)] // four of six to the first
			callers.Go(func() {
				began := time.Now()
				status, _ := c.call(daemon.Caller, "/file/", fmt.Sprintf("limited-%d", n), "good-key")
				mu.Lock()
				defer mu.Unlock()
				if status == http.StatusServiceUnavailable {
					refused++
				}
				if status != http.StatusOK && time.Since(began) > 1500*time.Millisecond {
					slow++
				}
			})
		}
	})
	time.Sleep(time.Second)
	for _, limit := range []float64{5, 12, 2} {
		began := time.Now()
		c.runners["p0"].SetLimit(limit)
		time.Sleep(limitPeriod)
		most, last := mostWithin(c.arrivals("p0"), limitSpan, began.Add(limitNotice), time.Now())
		t.Logf("limit %v: %d in %v at most, %d in the last", limit, most, limitSpan, last)
		is.True(float64(most) <= limitFactor*limit*limitSpan.Seconds()+limitExtra)
		is.True(float64(last) >= leastUsed*limit*limitSpan.Seconds())
	}
	c.runners["p0"].SetLimit(0)
	time.Sleep(limitSettle)
	before := len(c.arrivals("p0"))
	time.Sleep(time.Second)
	is.True(len(c.arrivals("p0"))-before > 50)
	close(stop)
	callers.Wait()
	is.True(refused > 0)
	is.Equal(slow, 0)
}

// arrivals returns when requests came to a runner.
func (c *cluster) arrivals(runner string) []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.came[runner]
}
