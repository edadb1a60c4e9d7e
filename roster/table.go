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

// table holds all daemons by id. Its methods are pure but for the table
// itself: time comes in as an argument.
type table struct {
	self    string
	members map[string]*member
	ring    []string // ids that are not dead, by hash
}

func newTable(self *wire.Daemon, now time.Time) *table {
	t := &table{self: self.Id, members: map[string]*member{}}
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
	if !ok && entry.Standing == wire.Standing_STANDING_DEAD {
		return false
	}
	order := 1
	if ok {
		order = compare(entry, known.daemon)
	}
	if order == 0 {
		t.refresh(known, entry)
	}
	if order <= 0 {
		return false
	}
	t.set(proto.CloneOf(entry), now)
	return true
}

// refresh takes the figures that change without a change of standing.
func (t *table) refresh(known *member, entry *wire.Daemon) {
	if entry.Applied <= known.daemon.Applied && entry.Load == known.daemon.Load {
		return
	}
	fresh := proto.CloneOf(known.daemon)
	fresh.Applied = max(fresh.Applied, entry.Applied)
	fresh.Load = entry.Load
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
	}
	if !ok || known.daemon.Standing != entry.Standing {
		known.since = now
	}
	ringed := ok && known.daemon.Standing != wire.Standing_STANDING_DEAD
	known.daemon = entry
	if ringed != (entry.Standing != wire.Standing_STANDING_DEAD) {
		t.arrange()
	}
	known.told = t.repeats()
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

// repeats is how often a change is passed on: enough for every daemon to hear
// of it with high probability.
func (t *table) repeats() int { return 3 * bits.Len(uint(len(t.members))) }

// expire turns long suspects into dead ones, whose ids it returns, and forgets
// those that died long ago.
func (t *table) expire(now time.Time) []string {
	var dead []string
	for _, id := range slices.Sorted(maps.Keys(t.members)) {
		known := t.members[id]
		switch known.daemon.Standing {
		case wire.Standing_STANDING_SUSPECT:
			if now.Sub(known.since) >= suspicion {
				t.stand(id, wire.Standing_STANDING_DEAD, now)
				dead = append(dead, id)
			}
		case wire.Standing_STANDING_DEAD:
			if now.Sub(known.since) >= tombstone {
				delete(t.members, id)
			}
		}
	}
	return dead
}

// forgive gives all suspects their full time again, for a daemon that was
// itself paused.
func (t *table) forgive(now time.Time) {
	for _, known := range t.members {
		if known.daemon.Standing == wire.Standing_STANDING_SUSPECT {
			known.since = now
		}
	}
}

// news returns at most limit entries to pass on, those told least first.
func (t *table) news(limit int) []*wire.Daemon {
	var due []*member
	for _, known := range t.members {
		if known.told > 0 && known.daemon.Id != t.self {
			due = append(due, known)
		}
	}
	slices.SortFunc(due, func(a, b *member) int {
		return cmp.Or(cmp.Compare(b.told, a.told), cmp.Compare(a.daemon.Id, b.daemon.Id))
	})
	if len(due) > limit {
		due = due[:limit]
	}
	entries := make([]*wire.Daemon, 0, len(due))
	for _, known := range due {
		known.told--
		entries = append(entries, known.daemon)
	}
	return entries
}

// hash digests who is a member and in which standing, without the dead.
func (t *table) hash() uint64 {
	var sum uint64
	for _, known := range t.members {
		if known.daemon.Standing != wire.Standing_STANDING_DEAD {
			sum ^= hashOf(known.daemon)
		}
	}
	return sum
}

func hashOf(d *wire.Daemon) uint64 {
	buffer := make([]byte, 0, len(d.Id)+3*binary.MaxVarintLen64)
	buffer = append(buffer, d.Id...)
	buffer = binary.AppendUvarint(buffer, d.Boot)
	buffer = binary.AppendUvarint(buffer, d.Incarnation)
	buffer = binary.AppendUvarint(buffer, uint64(d.Standing))
	return xxhash.Sum64(buffer)
}

// arrange orders the ring anew.
func (t *table) arrange() {
	t.ring = t.ring[:0]
	for id, known := range t.members {
		if known.daemon.Standing != wire.Standing_STANDING_DEAD {
			t.ring = append(t.ring, id)
		}
	}
	slices.SortFunc(t.ring, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
}

// successor returns the daemon that stands n places behind this one in the
// ring, or nil where there are no others.
func (t *table) successor(n int) *wire.Daemon {
	if len(t.ring) < 2 {
		return nil
	}
	at := slices.Index(t.ring, t.self)
	n = n % min(successors, len(t.ring)-1)
	return t.members[t.ring[(at+1+n)%len(t.ring)]].daemon
}

// peers returns all other daemons for which keep holds, by id.
func (t *table) peers(keep func(*wire.Daemon) bool) []*wire.Daemon {
	var peers []*wire.Daemon
	for _, known := range t.members {
		if known.daemon.Id != t.self && keep(known.daemon) {
			peers = append(peers, known.daemon)
		}
	}
	slices.SortFunc(peers, func(a, b *wire.Daemon) int { return cmp.Compare(a.Id, b.Id) })
	return peers
}

func reachable(d *wire.Daemon) bool { return d.Standing != wire.Standing_STANDING_DEAD }

func dead(d *wire.Daemon) bool { return d.Standing == wire.Standing_STANDING_DEAD }
