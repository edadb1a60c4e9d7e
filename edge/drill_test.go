package edge

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Bounds of the deployments.
const (
	catchUpBound = 4 * time.Second  // for a daemon that starts
	recoverBound = 12 * time.Second // for the fleet after a fault of all of it
)

// Guards against CONFIG: while the store was away, daemons were replaced; it came back from a
// copy older than the removal of a key, and the new daemons, which had heard none of the others
// since their start, accepted that key until operators wrote the configuration again.
func TestReplacedDaemonsAcceptARevokedKey(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for some seconds")
	}
	t.Parallel()
	for _, c := range []struct {
		name              string
		daemons, replaced int
	}{
		{"one of three", 3, 1},
		{"two of three", 3, 2},
		{"all", 2, 2},
		{"the only one", 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			cluster := newCluster(t, 0, c.daemons)
			await(t, "the key serves", 10*time.Second, func() bool { return cluster.statuses("good-key", http.StatusOK) })
			older := cluster.store.Copy()
			cluster.configure(2, "other-key")
			cluster.awaitRefused(t, "good-key")
			cluster.store.SetDown(true)
			for i := range c.replaced {
				cluster.cancels[i]()
				cluster.startDaemon(t, c.daemons+i)
			}
			time.Sleep(unheardWait + 500*time.Millisecond) // longer than a daemon listens
			cluster.store.Restore(older)
			cluster.store.SetDown(false)
			cluster.daemons = cluster.daemons[c.replaced:]
			for end := time.Now().Add(rewriteWait - time.Second); time.Now().Before(end); {
				for _, d := range cluster.daemons {
					status, _ := cluster.call(d.Caller, "/file/", cluster.nextID(), "good-key")
					is.True(status != http.StatusOK)
				}
			}
			cluster.configure(2, "other-key")
			await(t, "the other key serves", catchUpBound, func() bool { return cluster.statuses("other-key", http.StatusOK) })
			is.True(cluster.statuses("good-key", http.StatusUnauthorized))
		})
	}
}

// A daemon must not refuse for longer than it has to: one that starts in an outage of the store
// serves as soon as the store is back, as the store lost nothing; after a drill it serves once the
// newest version is known, or operators had the time to write it again.
func TestDaemonThatStartsInAnOutageServes(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for some seconds")
	}
	t.Parallel()
	for _, c := range []struct {
		name              string
		daemons, replaced int
		drill             bool
		within            time.Duration // of the store's return
	}{
		{"plain outage, one more", 2, 0, false, catchUpBound},
		{"plain outage, all", 2, 2, false, catchUpBound},
		{"drill that lost nothing, one of three", 3, 1, true, recoverBound},
		{"drill that lost nothing, all", 2, 2, true, recoverBound},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cluster := newCluster(t, 0, c.daemons)
			await(t, "the key serves", 10*time.Second, func() bool { return cluster.statuses("good-key", http.StatusOK) })
			older := cluster.store.Copy()
			cluster.store.SetDown(true)
			for i := range c.replaced {
				cluster.cancels[i]()
			}
			for i := range max(1, c.replaced) {
				cluster.startDaemon(t, c.daemons+i)
			}
			time.Sleep(4 * time.Second)
			if c.drill {
				cluster.store.Restore(older)
			}
			cluster.store.SetDown(false)
			cluster.daemons = cluster.daemons[c.replaced:]
			await(t, "the key serves again", c.within, func() bool { return cluster.statuses("good-key", http.StatusOK) })
		})
	}
}
