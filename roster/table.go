package roster

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"clementinehead.example/chead/wire"
)

const (
	suspicionTimeout = 2 * time.Second // until a suspect daemon is considered dead
	tombstoneTTL     = 5 * time.Minute // how long a dead daemon is remembered
)

// member is what is known of one daemon.
type member struct {
	daemon       *wire.Daemon // replaced, never modified
	since        time.Time    // start of its current standing, or last restart of its suspicion timeout
	pendingSends int          // how often the entry is still to be passed on
}

// ringEntry is a daemon's position on the hash ring.
type ringEntry struct {
	hash uint64
	id   string
}

func ringEntryOf(id string) ringEntry { return ringEntry{hash: xxhash.Sum64String(id), id: id} }

func (p ringEntry) compare(q ringEntry) int {
	return cmp.Or(cmp.Compare(p.hash, q.hash), cmp.Compare(p.id, q.id))
}

// table holds all known daemons by id. Its methods have no side effects beyond
// the table and take the time as an argument.
type table struct {
	self       string // id of this daemon
	members    map[string]*member
	order      []string           // all ids, sorted
	ring       []ringEntry        // daemons that are not dead, sorted by hash
	expiring   map[string]*member // suspect and dead daemons, by id
	unsent     map[string]*member // daemons whose entries may still have to be passed on, by id
	rosterHash uint64             // XOR of hashOf over all members
}

func newTable(self *wire.Daemon, now time.Time) *table {
	t := &table{
		self: self.Id, members: map[string]*member{}, unsent: map[string]*member{}, expiring: map[string]*member{},
	}
	t.set(self, now)
	return t
}

// compare orders two entries of the same daemon: the greater one takes
// precedence.
func compare(a, b *wire.Daemon) int {
	return cmp.Or(
		cmp.Compare(a.Boot, b.Boot),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Standing, b.Standing),
	)
}

// merge merges an entry received from a peer and reports whether it took
// precedence over the known one. An entry about this daemon itself is passed to
// refute.
func (t *table) merge(entry *wire.Daemon, now time.Time) bool {
	if entry.GetId() == "" || entry.Standing == wire.Standing_STANDING_UNSPECIFIED {
		return false
	}
	if entry.Id == t.self {
		return t.refute(entry, now)
	}
	known, ok := t.members[entry.Id]
	if ok && compare(entry, known.daemon) <= 0 {
		return false
	}
	t.set(proto.CloneOf(entry), now)
	return true
}

// updateFigures updates Applied and Load, which change without a change of
// standing, from an entry that its daemon sent itself. Entries that others pass
// on may be older.
func (t *table) updateFigures(own *wire.Daemon) {
	known, ok := t.members[own.GetId()]
	if !ok || compare(own, known.daemon) != 0 {
		return
	}
	updated := proto.CloneOf(known.daemon)
	updated.Applied = max(updated.Applied, own.Applied)
	updated.Load = own.Load
	known.daemon = updated
}

// refute handles an entry about this daemon. If the entry takes precedence over
// its own, it raises its own incarnation above that entry's and returns true. An
// entry with a later boot comes from an earlier process of this daemon whose
// clock was ahead; then it raises its boot instead.
func (t *table) refute(entry *wire.Daemon, now time.Time) bool {
	own := t.members[t.self].daemon
	if compare(entry, own) <= 0 {
		return false
	}
	updated := proto.CloneOf(own)
	if entry.Boot > own.Boot {
		updated.Boot = entry.Boot + 1
	} else {
		updated.Incarnation = entry.Incarnation + 1
	}
	t.set(updated, now)
	return true
}

// set stores an entry and schedules it to be passed on.
func (t *table) set(entry *wire.Daemon, now time.Time) {
	known, ok := t.members[entry.Id]
	if !ok {
		known = &member{since: now}
		t.members[entry.Id] = known
		at, _ := slices.BinarySearch(t.order, entry.Id)
		t.order = slices.Insert(t.order, at, entry.Id)
	}
	if !ok || known.daemon.Standing != entry.Standing {
		known.since = now
	}
	inRing := ok && notDead(known.daemon)
	t.rosterHash ^= hashOf(known.daemon) ^ hashOf(entry)
	known.daemon = entry
	if inRing != notDead(entry) {
		t.updateRing(entry)
	}
	delete(t.expiring, entry.Id)
	if entry.Standing == wire.Standing_STANDING_SUSPECT || !notDead(entry) {
		t.expiring[entry.Id] = known
	}
	known.pendingSends = t.sendCount(entry.Standing)
	t.unsent[entry.Id] = known
}

// forget removes a dead daemon.
func (t *table) forget(id string) {
	delete(t.members, id)
	delete(t.unsent, id)
	delete(t.expiring, id)
	t.order = slices.DeleteFunc(t.order, func(other string) bool { return other == id })
}

// setStanding raises the standing of a daemon and reports whether it changed. It
// never lowers it.
func (t *table) setStanding(id string, standing wire.Standing, now time.Time) bool {
	known, ok := t.members[id]
	if !ok || known.daemon.Standing >= standing {
		return false
	}
	updated := proto.CloneOf(known.daemon)
	updated.Standing = standing
	updated.Left = known.daemon.Standing == wire.Standing_STANDING_LEAVING && standing == wire.Standing_STANDING_DEAD
	t.set(updated, now)
	return true
}

// sendCount returns how often each daemon passes an entry on. A daemon that
// becomes known or alive is not urgent: the few daemons that miss it notice the
// different roster hash. Other standings are sent often enough that hardly any
// daemon misses them.
func (t *table) sendCount(standing wire.Standing) int {
	n := bits.Len(uint(len(t.members)))
	if standing == wire.Standing_STANDING_ALIVE {
		return n
	}
	return 3 * n
}

// stopSpreading prevents an entry from being passed on.
func (t *table) stopSpreading(id string) {
	if known, ok := t.members[id]; ok {
		known.pendingSends = 0
	}
}

// expire changes daemons that have been suspect for suspicionTimeout to dead and
// returns their ids, and forgets daemons that have been dead for tombstoneTTL.
func (t *table) expire(now time.Time) []string {
	var dead []string
	for _, id := range slices.Sorted(maps.Keys(t.expiring)) {
		known := t.members[id]
		switch known.daemon.Standing {
		case wire.Standing_STANDING_SUSPECT:
			if now.Sub(known.since) >= suspicionTimeout {
				t.setStanding(id, wire.Standing_STANDING_DEAD, now)
				dead = append(dead, id)
			}
		case wire.Standing_STANDING_DEAD:
			if now.Sub(known.since) >= tombstoneTTL {
				t.forget(id)
			}
		}
	}
	return dead
}

// restartSuspicions restarts the timeout of all suspect daemons, after this
// daemon itself was paused.
func (t *table) restartSuspicions(now time.Time) {
	for _, known := range t.expiring {
		if known.daemon.Standing == wire.Standing_STANDING_SUSPECT {
			known.since = now
		}
	}
}

// updates returns at most limit entries to pass on, those with the most sends
// remaining first. It omits this daemon's entry, which every heartbeat contains
// anyway.
func (t *table) updates(limit int) []*wire.Daemon {
	var due []*member
	for id, known := range t.unsent {
		if known.pendingSends <= 0 || id == t.self {
			delete(t.unsent, id)
			continue
		}
		due = append(due, known)
	}
	slices.SortFunc(due, func(a, b *member) int {
		return cmp.Or(cmp.Compare(b.pendingSends, a.pendingSends), cmp.Compare(a.daemon.Id, b.daemon.Id))
	})
	due = due[:min(limit, len(due))]
	entries := make([]*wire.Daemon, 0, len(due))
	for _, known := range due {
		known.pendingSends--
		entries = append(entries, known.daemon)
	}
	return entries
}

// hashOf returns the hash of an entry. It is 0 for dead and absent daemons, so
// that forgetting a dead daemon does not change the roster hash.
func hashOf(d *wire.Daemon) uint64 {
	if d == nil || !notDead(d) {
		return 0
	}
	buffer := make([]byte, 0, len(d.Id)+3*binary.MaxVarintLen64)
	buffer = append(buffer, d.Id...)
	buffer = binary.AppendUvarint(buffer, d.Boot)
	buffer = binary.AppendUvarint(buffer, d.Incarnation)
	buffer = binary.AppendUvarint(buffer, uint64(d.Standing))
	return xxhash.Sum64(buffer)
}

// updateRing adds a daemon to the ring, or removes it if it is dead.
func (t *table) updateRing(entry *wire.Daemon) {
	own := ringEntryOf(entry.Id)
	at, found := slices.BinarySearchFunc(t.ring, own, ringEntry.compare)
	switch {
	case found && !notDead(entry):
		t.ring = slices.Delete(t.ring, at, at+1)
	case !found && notDead(entry):
		t.ring = slices.Insert(t.ring, at, own)
	}
}

// successor returns one of the next daemons after this one on the ring, taking
// the first few in turn as n grows, or nil if there is no other daemon.
func (t *table) successor(n int) *wire.Daemon {
	if len(t.ring) < 2 {
		return nil
	}
	at, _ := slices.BinarySearchFunc(t.ring, ringEntryOf(t.self), ringEntry.compare)
	n %= min(successors, len(t.ring)-1)
	return t.members[t.ring[(at+1+n)%len(t.ring)].id].daemon
}

// peers returns all other daemons for which keep returns true, sorted by id.
func (t *table) peers(keep func(*wire.Daemon) bool) []*wire.Daemon {
	var peers []*wire.Daemon
	for _, id := range t.order {
		if daemon := t.members[id].daemon; id != t.self && keep(daemon) {
			peers = append(peers, daemon)
		}
	}
	return peers
}

func notDead(d *wire.Daemon) bool { return d.Standing != wire.Standing_STANDING_DEAD }

func dead(d *wire.Daemon) bool { return d.Standing == wire.Standing_STANDING_DEAD }
