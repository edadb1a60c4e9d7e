package gate

import (
	"time"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/wire"
)

const (
	confirmLife = 10 * time.Second // how long the store's word for the view counts
	interimLife = 15 * time.Second // the same, for standing in: gates turn weak before it
	pauseDoubt  = 10 * time.Second // after a start or a pause, in which the roster isn't trusted
)

// standing is what this daemon knows of its own place among the daemons.
//
// While the store is up, gates are named there and the standing plays no part.
// While it is down nobody can name a gate, and a dead gate is stood in for by
// another daemon. Only a daemon that sees most of the daemons alive does so,
// and a gate that does not see most of them alive uses half of its limit: two
// gates of one replica are never on the same side of a partition, and their
// halves make up the whole limit.
type standing struct {
	self      string
	roster    []*wire.Daemon
	daemons   map[string]*wire.Daemon // the roster by id
	known     map[string]bool         // daemons when the store last vouched, and since
	confirmed time.Time               // when the store last vouched for the view
	most      bool                    // most of the known daemons are seen alive
	weak      bool
	looked    time.Time
	woken     time.Time // when this process started, or last woke from a pause
}

func (s *standing) update(now time.Time, self string, daemons []*wire.Daemon, confirmed time.Time) {
	if now.Sub(s.looked) > pauseLimit {
		s.woken = now
	}
	s.looked = now
	s.self = self
	s.confirmed = confirmed
	s.learn(now, daemons)
	s.most = 2*s.living() > len(s.known) || len(s.known) <= 1
	s.weak = now.Sub(confirmed) > confirmLife && (!s.most || s.doubtful(now))
}

// learn takes the roster in. While the store is away, daemons that the roster
// forgot stay known, so that a small side of a partition never takes itself
// for the whole.
func (s *standing) learn(now time.Time, daemons []*wire.Daemon) {
	if s.known == nil || now.Sub(s.confirmed) <= confirmLife {
		s.known = make(map[string]bool, len(daemons))
	}
	s.roster = daemons
	s.daemons = make(map[string]*wire.Daemon, len(daemons))
	for _, daemon := range daemons {
		s.daemons[daemon.Id] = daemon
		s.known[daemon.Id] = true
		if daemon.Left {
			delete(s.known, daemon.Id) // it said that it ends, so it is on no side
		}
	}
}

// doubtful reports whether a start or a pause makes the roster untrustworthy.
func (s *standing) doubtful(now time.Time) bool {
	return now.Sub(s.woken) < pauseDoubt
}

func (s *standing) find(id string) (*wire.Daemon, bool) {
	daemon, ok := s.daemons[id]
	return daemon, ok
}

func (s *standing) dead(id string) bool {
	daemon, ok := s.daemons[id]
	return ok && daemon.Standing == wire.Standing_STANDING_DEAD
}

// standsIn reports whether this daemon has to stand in for a replica's gate.
func (s *standing) standsIn(now time.Time, replica fleet.Replica, domain string, document conf.Document) bool {
	if now.Sub(s.confirmed) <= interimLife || !s.most || s.doubtful(now) {
		return false
	}
	if !s.dead(replica.Gate) {
		return false
	}
	first := substitutes(replica.ID, domain, document, s.roster)
	return len(first) > 0 && first[0] == s.self
}

// living counts the daemons that are alive.
func (s *standing) living() int {
	count := 0
	for id, daemon := range s.daemons {
		if id == s.self || daemon.Standing == wire.Standing_STANDING_ALIVE {
			count++
		}
	}
	return count
}
