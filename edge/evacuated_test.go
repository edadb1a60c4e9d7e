package edge

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The store came back from a copy that doesn't say that a failure domain is out of service.
// Operators write it again within seconds. A daemon that starts meanwhile must not use the
// domain: the others know.
func TestNewDaemonUsesADomainThatTheCopyLacks(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for some seconds")
	}
	is := is.New(t)
	c := newCluster(t, 0, 2)
	came := c.loseDomain(t)
	c.configure(1, "good-key") // its keys are accepted before the domain is known
	before := came.Load()
	restored := time.Now()
	c.startDaemon(t, 2)
	for time.Since(restored) < 2*time.Second {
		c.burst(2)
	}
	c.store.Put("op/evacuate/south", []byte("{}"))
	await(t, "the new daemon serves", 5*time.Second, func() bool { return c.burst(2) > 0 })
	is.Equal(came.Load(), before)
}

// Guards against EVAC: operators take longer to write a failure domain again than daemons that
// knew it kept it out of service. Neither those nor one that starts meanwhile may use it. The
// routes need no key, so that requests are served all the while.
func TestDomainIsWrittenAgainLate(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for some seconds")
	}
	is := is.New(t)
	c := startCluster(t, &cluster{withoutAccounts: true}, 0, 2)
	came := c.loseDomain(t)
	before := came.Load()
	restored := time.Now()
	c.startDaemon(t, 2)
	served := 0
	for time.Since(restored) < operatorsLate {
		served += c.burst(0)
		if c.started[2].ready() {
			c.burst(2)
		}
		time.Sleep(20 * time.Millisecond)
	}
	is.True(served > 0)
	is.Equal(came.Load(), before)
	c.putAccounts(1, "")
	c.store.Put("op/evacuate/south", []byte("{}"))
	await(t, "the new daemon takes callers", catchUpBound, func() bool { return c.started[2].ready() })
	c.burst(2)
	is.Equal(came.Load(), before)
}

// loseDomain takes a failure domain out of service, which two daemons see, and has the store
// come back from a copy that lacks it. It returns the requests at the domain's endpoint.
func (c *cluster) loseDomain(t *testing.T) *atomic.Int64 {
	t.Helper()
	came := c.plainEndpoint("p1", "south", http.Header{})
	await(t, "both endpoints serve", 10*time.Second, func() bool {
		c.burst(0)
		return came.Load() > 0
	})
	older := c.store.Copy()
	c.store.Put("op/evacuate/south", []byte("{}"))
	await(t, "the domain is out of service", 5*time.Second, func() bool {
		return c.started[0].watcher.Snapshot().OutOfService["south"] && c.started[1].watcher.Snapshot().OutOfService["south"]
	})
	era := c.started[0].watcher.Snapshot().Era
	c.store.Restore(older)
	await(t, "the daemons see the copy", 5*time.Second, func() bool { return c.started[0].watcher.Snapshot().Era != era })
	return came
}
