package edge

import (
	"time"

	"clementinehead.example/chead/watch"
)

// ready reports whether this daemon accepts callers.
func (d *Daemon) ready() bool {
	return d.fresh() && d.catchUp.takesCallers(d.watcher.Snapshot(), d.gossip.Alive)
}

// caughtUp reports whether the configuration is shown to be at least the newest one that was
// put in force, which the store may have lost.
func (d *Daemon) caughtUp() bool { return d.catchUp.allows(d.watcher.Snapshot(), d.gossip.Alive) }

// keyBasis returns what shows that the configuration of a snapshot is the newest, and whether
// keys are accepted by that.
func (d *Daemon) keyBasis(held *watch.Snapshot) (string, bool) {
	found := d.catchUp.basis(held, d.gossip.Alive)
	return found.String(), found.holds()
}

// maxKeyAge returns the greatest age of a snapshot by which keys are accepted, or 0 if
// none are.
func (d *Daemon) maxKeyAge() time.Duration {
	if !d.caughtUp() {
		return 0
	}
	return d.settings().revoke() - revokeMargin
}
