package roster

import (
	"context"
	"encoding/json"
	"time"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/store"
	"clementinehead.example/chead/wire"
)

// Prefix is the prefix of the store keys of all daemons' records.
const Prefix = "daemons/"

const (
	minRetryDelay   = 500 * time.Millisecond // after the first failed call to the store
	maxRetryDelay   = 15 * time.Second       // after repeated failures
	readInterval    = 15 * time.Second       // mean time between reads of the records by any daemon
	maxReadInterval = time.Hour              // between reads by one daemon
	deadRecordAge   = time.Minute            // how long a daemon is dead before its record is removed
	removeTimeout   = 2 * time.Second        // for removing this daemon's record at the end
	maxUnanswered   = 3                      // reads after which the record of an unknown daemon that never answers is removed
)

// record is the stored value of a daemon: where it can be reached. A daemon
// writes it when it starts and does not change it.
type record struct {
	ID     string `json:"id"`
	Boot   uint64 `json:"boot"`
	Peer   string `json:"peer"`
	Caller string `json:"caller"`
	Domain string `json:"domain"`
	Region string `json:"region"`

	revision uint64 // of the entry in the store, 0 if there is none
}

// registration maintains the daemons' records in the store. It is used by one
// goroutine only.
type registration struct {
	roster     *Roster
	unanswered map[string]int // reads in which an unknown daemon did not answer, by id
}

// register writes this daemon's record and contacts the daemons of the other
// records, and repeats this from time to time, so that two halves of a cluster
// that have forgotten each other meet again. While the store is unavailable it
// contacts the seeds instead. When the context ends it removes the daemon's
// record.
func (r *Roster) register(ctx context.Context) error {
	reg := &registration{roster: r, unanswered: map[string]int{}}
	wait := minRetryDelay
	for {
		pause := r.readDelay()
		if err := reg.sync(ctx); err != nil {
			r.contactSeeds(ctx)
			pause = r.jitter(wait)
			wait = min(2*wait, maxRetryDelay)
		} else {
			wait = minRetryDelay
		}
		if !clock.Sleep(ctx, pause) {
			break
		}
	}
	reg.removeOwn(context.WithoutCancel(ctx))
	return nil
}

// readDelay returns the time until the next read of the records. It grows with
// the number of daemons, so that all of them together read at a constant rate,
// up to maxReadInterval.
func (r *Roster) readDelay() time.Duration {
	r.mu.Lock()
	n := len(r.table.ring)
	r.mu.Unlock()
	return r.jitter(min(readInterval*time.Duration(n), maxReadInterval))
}

// jitter returns a random duration between d/2 and 3d/2.
func (r *Roster) jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return d/2 + time.Duration(r.random.Int64N(int64(d)))
}

// contactSeeds fetches the roster of the first seed that answers, unless another
// daemon is already known.
func (r *Roster) contactSeeds(ctx context.Context) {
	r.mu.Lock()
	alone := len(r.table.ring) < 2
	r.mu.Unlock()
	if !alone {
		return
	}
	for _, address := range r.options.Seeds {
		if address != r.options.Self.PeerAddress && r.heartbeat(ctx, address) {
			r.list(ctx, address)
			return
		}
	}
}

// sync writes this daemon's record if it is missing or different, contacts the
// daemons of the other records, and removes the records of dead ones. It reads
// the records again after writing, so that of two daemons that start at the same
// time at least one finds the other.
func (s *registration) sync(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 8*callTimeout)
	defer cancel()
	own, others, err := s.read(ctx)
	if err != nil {
		return err
	}
	if wanted := s.wantedRecord(own.revision); own != wanted {
		if err := s.write(ctx, wanted); err != nil {
			return err
		}
		if _, others, err = s.read(ctx); err != nil {
			return err
		}
	}
	s.contact(ctx, others)
	s.removeStale(ctx, others)
	return nil
}

// read returns the record of this daemon, zero if there is none, and those of
// the others.
func (s *registration) read(ctx context.Context) (own record, others []record, err error) {
	listing, err := s.roster.options.Store.List(ctx, Prefix)
	if err != nil {
		return own, nil, &Error{Op: "read records", Kind: Record, Err: err}
	}
	for _, entry := range listing.Entries {
		var found record
		if json.Unmarshal(entry.Value, &found) != nil {
			continue
		}
		found.revision = entry.Revision
		if found.ID == s.roster.options.Self.Id {
			own = found
		} else {
			others = append(others, found)
		}
	}
	return own, others, nil
}

// wantedRecord returns the record that this daemon should have.
func (s *registration) wantedRecord(revision uint64) record {
	self := s.roster.options.Self
	return record{
		ID: self.Id, Boot: self.Boot, Peer: self.PeerAddress, Caller: self.CallerAddress,
		Domain: self.Domain, Region: self.Region, revision: revision,
	}
}

// write stores the record of this daemon, unless the stored one has changed
// since it was read.
func (s *registration) write(ctx context.Context, own record) error {
	value, err := json.Marshal(own)
	if err != nil {
		return &Error{Op: "write record", Kind: Record, Err: err}
	}
	put := store.Put{Key: Prefix + own.ID, Value: value, Prev: own.revision}
	if _, err := s.roster.options.Store.Put(ctx, put); err != nil {
		return &Error{Op: "write record", Kind: Record, Err: err}
	}
	return nil
}

// contact sends heartbeats to recorded daemons that the roster lacks. The first
// one that answers sends its whole roster, which usually contains most of the
// others.
func (s *registration) contact(ctx context.Context, others []record) {
	s.roster.shuffle(others)
	answered := len(others) == 0
	for _, other := range others {
		if _, known := s.roster.Find(other.ID); known {
			answered = true
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if !s.roster.heartbeat(ctx, other.Peer) {
			s.unanswered[other.ID]++
			continue
		}
		answered = true
		delete(s.unanswered, other.ID)
		s.roster.list(ctx, other.Peer)
	}
	if answered {
		s.roster.markJoined()
	}
}

func (r *Roster) shuffle(records []record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.random.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
}

// markJoined records that this daemon has joined.
func (r *Roster) markJoined() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.joined = true
}

// removeStale removes the records of daemons that died without removing theirs.
// A daemon that is alive behind a network partition writes its record again.
func (s *registration) removeStale(ctx context.Context, others []record) {
	for _, other := range others {
		if s.roster.longDead(other.ID) || s.unanswered[other.ID] >= maxUnanswered {
			delete(s.unanswered, other.ID)
			// A failure is harmless: the next read tries again.
			_ = s.roster.options.Store.Delete(ctx, Prefix+other.ID, other.revision)
		}
	}
}

// longDead reports whether a daemon has been dead for deadRecordAge.
func (r *Roster) longDead(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.table.members[id]
	return ok && known.daemon.Standing == wire.Standing_STANDING_DEAD && time.Since(known.since) >= deadRecordAge
}

// removeOwn removes the record of this daemon. If that fails, other daemons
// remove it later.
func (s *registration) removeOwn(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, removeTimeout)
	defer cancel()
	client := s.roster.options.Store
	key := Prefix + s.roster.options.Self.Id
	if entry, err := client.Get(ctx, key); err == nil {
		_ = client.Delete(ctx, key, entry.Revision)
	}
}
