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
	revokeBound  = 5 * time.Second  // from the acknowledgement of a version that takes a key away
)

// operatorsLate is after the store's return, and longer than any wait of a daemon.
const operatorsLate = 8 * time.Second

// drill is a drill of the store around a version that takes a key away. The copy lacks that
// version, and operators write it again operatorsLate after the store's return.
type drill struct {
	name              string
	daemons, replaced int
	unread            bool // the version is the store's last acknowledgement before it goes away
}

// Guards against CONFIG: while the store was away, daemons were replaced; it came back from a
// copy older than the removal of a key, and the new daemons, which had heard none of the others
// since their start, accepted that key until operators wrote the configuration again, or once
// operators took longer than a wait.
func TestReplacedDaemonsAcceptARevokedKey(t *testing.T) {
	playDrills(t,
		drill{"one of three", 3, 1, false},
		drill{"two of three", 3, 2, false},
		drill{"all", 2, 2, false},
		drill{"the only one", 1, 1, false},
	)
}

// Guards against CONFIG: a version that takes a key away is acknowledged as the store goes
// away for a drill, and no daemon reads it. Daemons that ran on took the version before it,
// which they all held, for the newest, and accepted the key until operators wrote again.
func TestVersionThatNoDaemonRead(t *testing.T) {
	playDrills(t,
		drill{"all run on", 3, 0, true},
		drill{"the only one runs on", 1, 0, true},
		drill{"one of three is replaced", 3, 1, true},
		drill{"all are replaced", 2, 2, true},
	)
}

// playDrills plays drills side by side. The key must not serve later than revokeBound after it
// was taken away; the other one serves again once operators have written.
func playDrills(t *testing.T, drills ...drill) {
	t.Helper()
	if testing.Short() {
		t.Skip("runs for some seconds")
	}
	t.Parallel()
	for _, d := range drills {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			d.play(t)
		})
	}
}

func (d drill) play(t *testing.T) {
	t.Helper()
	is := is.New(t)
	cluster := newCluster(t, 0, d.daemons)
	await(t, "the key serves", 10*time.Second, func() bool { return cluster.statuses("good-key", http.StatusOK) })
	older := cluster.store.Copy()
	cluster.store.SetDown(d.unread)
	cluster.configure(2, "other-key")
	acknowledged := time.Now()
	if !d.unread {
		cluster.awaitRefused(t, "good-key")
		cluster.store.SetDown(true)
	}
	cluster.replace(t, d.replaced)
	time.Sleep(unheardWait + 500*time.Millisecond) // longer than a daemon listens
	cluster.store.Restore(older)
	cluster.store.SetDown(false)
	if d.unread {
		time.Sleep(time.Until(acknowledged.Add(revokeBound)))
	}
	cluster.refusesFor(t, "good-key", operatorsLate)
	cluster.configure(2, "other-key")
	await(t, "the other key serves", catchUpBound, func() bool { return cluster.statuses("other-key", http.StatusOK) })
	is.True(cluster.statuses("good-key", http.StatusUnauthorized))
}

// replace stops the first daemons and starts as many others at other addresses.
func (c *cluster) replace(t *testing.T, n int) {
	t.Helper()
	for i := range n {
		c.cancels[i]()
		c.startDaemon(t, len(c.started))
	}
	c.daemons = c.daemons[n:]
}

// refusesFor fails the test if a request with a key is served within a time.
func (c *cluster) refusesFor(t *testing.T, key string, span time.Duration) {
	t.Helper()
	for end := time.Now().Add(span); time.Now().Before(end); {
		for _, d := range c.daemons {
			if status, _ := c.call(d.Caller, "/file/", c.nextID(), key); status == http.StatusOK {
				t.Fatalf("a request with %s is served", key)
			}
		}
	}
}

// A daemon must not refuse for longer than it has to: one that starts in an outage of the store
// serves as soon as the store is back, as the store lost nothing; after a drill it serves once
// operators have written the configuration again, though nothing was lost, and whether daemons
// saw the store before or not.
func TestDaemonThatStartsInAnOutageServes(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for some seconds")
	}
	t.Parallel()
	for _, c := range []struct {
		name              string
		daemons, replaced int
		drill             bool
		writtenAfter      time.Duration // of the store's return, in a drill
	}{
		{"plain outage, one more", 2, 0, false, 0},
		{"plain outage, all", 2, 2, false, 0},
		{"drill that lost nothing, none", 2, 0, true, 2 * time.Second},
		{"drill that lost nothing, none, written at once", 2, 0, true, 0},
		{"drill that lost nothing, one of three", 3, 1, true, 2 * time.Second},
		{"drill that lost nothing, one of three, written at once", 3, 1, true, 0},
		{"drill that lost nothing, all", 2, 2, true, 2 * time.Second},
		{"drill that lost nothing, all, written at once", 2, 2, true, 0},
		{"drill that lost nothing, all, written late", 2, 2, true, operatorsLate},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cluster := newCluster(t, 0, c.daemons)
			await(t, "the key serves", 10*time.Second, func() bool { return cluster.statuses("good-key", http.StatusOK) })
			older := cluster.store.Copy()
			cluster.store.SetDown(true)
			cluster.replace(t, c.replaced)
			if c.replaced == 0 {
				cluster.startDaemon(t, c.daemons)
			}
			time.Sleep(4 * time.Second)
			if c.drill {
				cluster.store.Restore(older)
			}
			if c.drill && c.writtenAfter == 0 {
				cluster.configure(1, "good-key")
			}
			cluster.store.SetDown(false)
			if c.writtenAfter > 0 {
				time.Sleep(c.writtenAfter)
				cluster.configure(1, "good-key")
			}
			await(t, "the key serves again", catchUpBound, func() bool { return cluster.statuses("good-key", http.StatusOK) })
		})
	}
}

// All daemons are gone while the store has a drill and operators write the configuration
// again. Those that start later have seen neither the store before nor the one of the copy,
// and serve: the record in the copy shows that the configuration was written since.
func TestDaemonsThatStartAfterADrillServe(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for some seconds")
	}
	t.Parallel()
	for _, c := range []struct {
		name    string
		version int // that operators write again
		key     string
	}{
		{"nothing was lost", 1, "good-key"},
		{"a version was lost", 2, "other-key"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cluster := newCluster(t, 0, 2)
			await(t, "the key serves", 10*time.Second, func() bool { return cluster.statuses("good-key", http.StatusOK) })
			older := cluster.store.Copy()
			if c.version > 1 {
				cluster.configure(c.version, c.key)
			}
			for _, stop := range cluster.cancels {
				stop()
			}
			cluster.running.Wait()
			cluster.store.Restore(older)
			cluster.configure(c.version, c.key)
			cluster.daemons = nil
			cluster.startDaemon(t, 2)
			cluster.startDaemon(t, 3)
			await(t, "the key serves again", catchUpBound, func() bool { return cluster.statuses(c.key, http.StatusOK) })
		})
	}
}

// The store comes back from a copy that is older than the first daemon's start, and operators
// write the configuration again before any daemon has listed it. Daemons that ran on serve.
func TestCopyOlderThanAllDaemons(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for some seconds")
	}
	t.Parallel()
	for _, c := range []struct {
		name    string
		version int // that operators write again
		key     string
	}{
		{"nothing was lost", 1, "good-key"},
		{"a version was lost", 2, "other-key"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cluster := newCluster(t, 0, 0)
			older := cluster.store.Copy()
			cluster.startDaemon(t, 0)
			cluster.startDaemon(t, 1)
			await(t, "the key serves", 10*time.Second, func() bool { return cluster.statuses("good-key", http.StatusOK) })
			if c.version > 1 {
				cluster.configure(c.version, c.key)
				cluster.awaitRefused(t, "good-key")
			}
			era := cluster.started[0].watcher.Snapshot().Era
			cluster.store.SetDown(true)
			cluster.store.Restore(older)
			cluster.configure(c.version, c.key)
			cluster.store.SetDown(false)
			await(t, "the new era", catchUpBound, func() bool {
				return cluster.started[0].watcher.Snapshot().Era > era && cluster.started[1].watcher.Snapshot().Era > era
			})
			await(t, "the key serves again", catchUpBound, func() bool { return cluster.statuses(c.key, http.StatusOK) })
		})
	}
}
