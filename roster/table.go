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
	suspicion = 2 * time.Second // from suspect to dead
	tombstone = 5 * time.Minute // how long a dead daemon is remembered
)

// member is what is known of one daemon.
type member struct {
	daemon *wire.Daemon // never changed in place
	since  time.Time    // when its standing became what it is
	told   int          // times that the entry still has to be passed on
}

// place is a daemon's place in the ring.
type place struct {
	hash uint64
	id   string
}

func placeOf(id string) place { return place{hash: xxhash.Sum64String(id), id: id} }

func (p place) compare(q place) int {
	return cmp.Or(cmp.Compare(p.hash, q.hash), cmp.Compare(p.id, q.id))
}

// table holds all daemons by id. Its methods are pure but for the table
// itself: time comes in as an argument.
type table struct {
	self    string
	members map[string]*member
	order   []string           // all ids, sorted
	ring    []place            // daemons that are not dead, by hash
	expires map[string]*member // the suspect and the dead
	fresh   map[string]*member // those that still have to be passed on
	sum     uint64             // digest of who is a member and in which standing, without the dead
}

func newTable(self *wire.Daemon, now time.Time) *table {
	t := &table{
		self: self.Id, members: map[string]*member{}, fresh: map[string]*member{}, expires: map[string]*member{},
	}
	t.set(self, now)
	return t
}

// compare orders two entries of one daemon: the greater one holds.
func compare(a, b *wire.Daemon) int {
	return cmp.Or(
		cmp.Compare(a.Boot, b.Boot),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Standing, b.Standing),
	)
}

// merge takes in an entry heard from a peer and reports whether it held over
// the one known. An entry about the table's own daemon is refuted.
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

// refresh takes the figures that change without a change of standing from a
// daemon's own entry. Those that others pass on may be older.
func (t *table) refresh(own *wire.Daemon) {
	known, ok := t.members[own.GetId()]
	if !ok || compare(own, known.daemon) != 0 {
		return
	}
	fresh := proto.CloneOf(known.daemon)
	fresh.Applied = max(fresh.Applied, own.Applied)
	fresh.Load = own.Load
	known.daemon = fresh
}

// refute raises the own incarnation over an entry that says something else of
// this daemon. An entry of a later boot is an earlier life whose clock ran
// ahead; its boot is passed.
func (t *table) refute(entry *wire.Daemon, now time.Time) bool {
	own := t.members[t.self].daemon
	if compare(entry, own) <= 0 {
		return false
	}
	fresh := proto.CloneOf(own)
	if entry.Boot > own.Boot {
		fresh.Boot = entry.Boot + 1
	} else {
		fresh.Incarnation = entry.Incarnation + 1
	}
	t.set(fresh, now)
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
	ringed := ok && reachable(known.daemon)
	t.sum ^= hashOf(known.daemon) ^ hashOf(entry)
	known.daemon = entry
	if ringed != reachable(entry) {
		t.arrange(entry)
	}
	delete(t.expires, entry.Id)
	if entry.Standing == wire.Standing_STANDING_SUSPECT || !reachable(entry) {
		t.expires[entry.Id] = known
	}
	known.told = t.repeats(entry.Standing)
	t.fresh[entry.Id] = known
}

// forget drops a dead daemon.
func (t *table) forget(id string) {
	delete(t.members, id)
	delete(t.fresh, id)
	delete(t.expires, id)
	t.order = slices.DeleteFunc(t.order, func(other string) bool { return other == id })
}

// stand changes the standing of a daemon and reports whether it did.
func (t *table) stand(id string, standing wire.Standing, now time.Time) bool {
	known, ok := t.members[id]
	if !ok || known.daemon.Standing >= standing {
		return false
	}
	fresh := proto.CloneOf(known.daemon)
	fresh.Standing = standing
	fresh.Left = known.daemon.Standing == wire.Standing_STANDING_LEAVING && standing == wire.Standing_STANDING_DEAD
	t.set(fresh, now)
	return true
}

// repeats is how often each daemon passes an entry on. A new daemon has time:
// the few that miss it find out by the roster hash. Other standings are told
// often enough that hardly any daemon misses them.
func (t *table) repeats(standing wire.Standing) int {
	n := bits.Len(uint(len(t.members)))
	if standing == wire.Standing_STANDING_ALIVE {
		return n
	}
	return 3 * n
}

// stopSpreading keeps an entry from being passed on: whoever sent a whole roster has
// told others before.
func (t *table) stopSpreading(id string) {
	if known, ok := t.members[id]; ok {
		known.told = 0
	}
}

// expire turns long suspects into dead ones, whose ids it returns, and forgets
// those that died long ago.
func (t *table) expire(now time.Time) []string {
	var dead []string
	for _, id := range slices.Sorted(maps.Keys(t.expires)) {
		known := t.members[id]
		switch known.daemon.Standing {
		case wire.Standing_STANDING_SUSPECT:
			if now.Sub(known.since) >= suspicion {
				t.stand(id, wire.Standing_STANDING_DEAD, now)
				dead = append(dead, id)
			}
		case wire.Standing_STANDING_DEAD:
			if now.Sub(known.since) >= tombstone {
				t.forget(id)
			}
		}
	}
	return dead
}

// forgive gives all suspects their full time again, for a daemon that was
// itself paused.
func (t *table) forgive(now time.Time) {
	for _, known := range t.expires {
		if known.daemon.Standing == wire.Standing_STANDING_SUSPECT {
			known.since = now
		}
	}
}

// updates returns at most limit entries to pass on, those told least first. The
// own entry travels with every heartbeat anyway.
func (t *table) updates(limit int) []*wire.Daemon {
	var due []*member
	for id, known := range t.fresh {
		if known.told <= 0 || id == t.self {
			delete(t.fresh, id)
			continue
		}
		due = append(due, known)
	}
	slices.SortFunc(due, func(a, b *member) int {
		return cmp.Or(cmp.Compare(b.told, a.told), cmp.Compare(a.daemon.Id, b.daemon.Id))
	})
	due = due[:min(limit, len(due))]
	entries := make([]*wire.Daemon, 0, len(due))
	for _, known := range due {
		known.told--
		entries = append(entries, known.daemon)
	}
	return entries
}

// hashOf digests an entry. Dead and absent daemons have none, so that it does
// not matter when one is forgotten.
func hashOf(d *wire.Daemon) uint64 {
	if d == nil || !reachable(d) {
		return 0
	}
	buffer := make([]byte, 0, len(d.Id)+3*binary.MaxVarintLen64)
	buffer = append(buffer, d.Id...)
	buffer = binary.AppendUvarint(buffer, d.Boot)
	buffer = binary.AppendUvarint(buffer, d.Incarnation)
	buffer = binary.AppendUvarint(buffer, uint64(d.Standing))
	return xxhash.Sum64(buffer)
}

// arrange puts a daemon into the ring or takes a dead one out.
func (t *table) arrange(entry *wire.Daemon) {
	own := placeOf(entry.Id)
	at, found := slices.BinarySearchFunc(t.ring, own, place.compare)
	switch {
	case found && !reachable(entry):
		t.ring = slices.Delete(t.ring, at, at+1)
	case !found && reachable(entry):
		t.ring = slices.Insert(t.ring, at, own)
	}
}

// successor returns the daemon that stands n places behind this one in the
// ring, or nil where there are no others.
func (t *table) successor(n int) *wire.Daemon {
	if len(t.ring) < 2 {
		return nil
	}
	at, _ := slices.BinarySearchFunc(t.ring, placeOf(t.self), place.compare)
	n %= min(successors, len(t.ring)-1)
	return t.members[t.ring[(at+1+n)%len(t.ring)].id].daemon
}

// peers returns all other daemons for which keep holds, by id.
func (t *table) peers(keep func(*wire.Daemon) bool) []*wire.Daemon {
	var peers []*wire.Daemon
	for _, id := range t.order {
		if daemon := t.members[id].daemon; id != t.self && keep(daemon) {
			peers = append(peers, daemon)
		}
	}
	return peers
}

func reachable(d *wire.Daemon) bool { return d.Standing != wire.Standing_STANDING_DEAD }

func dead(d *wire.Daemon) bool { return d.Standing == wire.Standing_STANDING_DEAD }
