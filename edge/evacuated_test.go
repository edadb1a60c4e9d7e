package edge

import (
	"net/http"
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
	before := came.Load()
	c.store.Restore(older)
	c.configure(1, "good-key") // its keys are accepted before the domain is known
	era := c.started[0].watcher.Snapshot().Era
	await(t, "the daemons see the copy", 5*time.Second, func() bool { return c.started[0].watcher.Snapshot().Era != era })
	restored := time.Now()
	c.startDaemon(t, 2)
	for time.Since(restored) < 2*time.Second {
		c.burst(2)
	}
	c.store.Put("op/evacuate/south", []byte("{}"))
	await(t, "the new daemon serves", 5*time.Second, func() bool { return c.burst(2) > 0 })
	is.Equal(came.Load(), before)
}
