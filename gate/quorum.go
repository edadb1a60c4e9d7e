package gate

import (
	"time"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/wire"
)

const (
	confirmLifetime = 10 * time.Second // time for which the store's confirmation of the view is valid
	interimDelay    = 15 * time.Second // time without confirmation before a daemon substitutes for a gate; gates are reduced before that
	rosterSettle    = 10 * time.Second // time after a start or a pause in which the roster isn't trusted
)

// quorum records how many of the daemons this daemon sees alive. From this it
// decides whether to substitute for a dead gate and whether its own gates use
// half of their limits.
//
// While the store is up, gates are named in the store and the quorum has no
// effect. While the store is down no gate can be named, and another daemon
// substitutes for a dead gate. Only a daemon that sees a majority of the
// daemons alive does so, and a gate that doesn't see a majority alive uses half
// of its limit. Two gates of one replica are therefore never on the same side
// of a partition, and their halves add up to the limit.
type quorum struct {
	self       string
	roster     []*wire.Daemon
	daemons    map[string]*wire.Daemon // the roster by id
	known      map[string]bool         // daemons when the store last confirmed the view, and since
	verifiedAt time.Time               // when the store last confirmed, to this daemon or a peer, that the view is current
	majority   bool                    // more than half of the known daemons are seen alive
	reduced    bool                    // gates of this daemon use half of their limits
	updatedAt  time.Time
	resumedAt  time.Time // when this process started, or last resumed after a pause
}

// update updates the quorum from the roster and the time of the store's last
// confirmation.
func (q *quorum) update(now time.Time, self string, daemons []*wire.Daemon, verifiedAt time.Time) {
	if now.Sub(q.updatedAt) > pauseLimit {
		q.resumedAt = now
	}
	q.updatedAt = now
	q.self = self
	q.verifiedAt = verifiedAt
	q.updateRoster(now, daemons)
	q.majority = 2*q.countAlive() > len(q.known) || len(q.known) <= 1
	q.reduced = now.Sub(verifiedAt) > confirmLifetime && (!q.majority || q.recentlyResumed(now))
}

// updateRoster stores the roster. While the store is down, daemons that are no
// longer in the roster stay known, so that the smaller side of a partition
// never counts as a majority.
func (q *quorum) updateRoster(now time.Time, daemons []*wire.Daemon) {
	if q.known == nil || now.Sub(q.verifiedAt) <= confirmLifetime {
		q.known = make(map[string]bool, len(daemons))
	}
	q.roster = daemons
	q.daemons = make(map[string]*wire.Daemon, len(daemons))
	for _, daemon := range daemons {
		q.daemons[daemon.Id] = daemon
		q.known[daemon.Id] = true
		if daemon.Left {
			delete(q.known, daemon.Id) // announced its shutdown, so it is on no side of a partition
		}
	}
}

// recentlyResumed reports whether this process started or resumed so recently
// that the roster may be out of date.
func (q *quorum) recentlyResumed(now time.Time) bool {
	return now.Sub(q.resumedAt) < rosterSettle
}

// find returns a daemon of the roster by its id.
func (q *quorum) find(id string) (*wire.Daemon, bool) {
	daemon, ok := q.daemons[id]
	return daemon, ok
}

// dead reports whether the roster has a daemon as dead.
func (q *quorum) dead(id string) bool {
	daemon, ok := q.daemons[id]
	return ok && daemon.Standing == wire.Standing_STANDING_DEAD
}

// isSubstitute reports whether this daemon has to substitute for a replica's
// gate.
func (q *quorum) isSubstitute(now time.Time, replica fleet.Replica, domain string, document conf.Document) bool {
	if now.Sub(q.verifiedAt) <= interimDelay || !q.majority || q.recentlyResumed(now) {
		return false
	}
	if !q.dead(replica.Gate) {
		return false
	}
	first := substitutes(replica.ID, domain, document, q.roster)
	return len(first) > 0 && first[0] == q.self
}

// countAlive returns the number of daemons that are alive.
func (q *quorum) countAlive() int {
	count := 0
	for id, daemon := range q.daemons {
		if id == q.self || daemon.Standing == wire.Standing_STANDING_ALIVE {
			count++
		}
	}
	return count
}
