package edge

import (
	"sync"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/watch"
)

// census is what this daemon works out from the list of all daemons. It is kept until the
// list changes: parts of the daemon ask for it with each request.
type census struct {
	mu     sync.Mutex
	latest *others
}

// others is what is known of the other daemons by what was heard and a snapshot.
type others struct {
	snapshot *watch.Snapshot
	heard    []gossip.Message
	current  []gossip.Message // of these, without those of daemons that were started again since
	listed   int              // daemons that may serve, with this one
	sharers  int              // daemons that share what is for all of them
}

// take returns what follows from what was heard and a snapshot. It must not be changed.
func (c *census) take(self string, heard []gossip.Message, snapshot *watch.Snapshot) *others {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latest != nil && c.latest.snapshot == snapshot && same(c.latest.heard, heard) {
		return c.latest
	}
	c.latest = &others{
		snapshot: snapshot, heard: heard, current: currentStarts(heard, snapshot.Daemons),
		listed: countListed(self, snapshot.Daemons, heard), sharers: countDaemons(self, snapshot.Daemons, heard),
	}
	return c.latest
}

// same reports whether two results of gossip.Gossip.Alive are one.
func same(a, b []gossip.Message) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// others returns what is known of the other daemons now.
func (d *Daemon) others() *others {
	return d.census.take(d.self.ID, d.gossip.Alive(), d.watcher.Snapshot())
}
