package roster

import (
	"context"
	"encoding/json"
	"time"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/store"
	"clementinehead.example/chead/wire"
)

// Prefix begins the store's keys of all daemons' records.
const Prefix = "daemons/"

const (
	firstRetry = 500 * time.Millisecond // after a failed call to the store
	lastRetry  = 15 * time.Second
	apart      = 15 * time.Second // between two daemons' readings of the records
	longest    = time.Hour        // between two readings by one daemon
	stale      = time.Minute      // dead for so long, a daemon's record is removed
	removal    = 2 * time.Second  // for removing the own record
	silences   = 3                // unanswered readings until a unknown daemon's record is removed
)

// record is the value under a daemon's key: where it can be reached. It is
// written once in a daemon's life.
type record struct {
	ID     string `json:"id"`
	Boot   uint64 `json:"boot"`
	Peer   string `json:"peer"`
	Caller string `json:"caller"`
	Domain string `json:"domain"`
	Region string `json:"region"`

	revision uint64
}

// records works on the daemons' records in the store. It belongs to one
// goroutine.
type records struct {
	roster *Roster
	silent map[string]int // readings in which an unknown daemon did not answer, by id
}

// register reads the others' records, writes the own one, and reads them again
// from time to time, so that two halves which forgot each other meet. Seeds
// stand in while the store is down. At the end it removes the own record.
func (r *Roster) register(ctx context.Context) error {
	records := &records{roster: r, silent: map[string]int{}}
	wait := firstRetry
	for {
		pause := r.readingPause()
		if err := records.sync(ctx); err != nil {
			r.callSeeds(ctx)
			pause = r.jitter(wait)
			wait = min(2*wait, lastRetry)
		} else {
			wait = firstRetry
		}
		if !clock.Sleep(ctx, pause) {
			break
		}
	}
	records.remove(context.WithoutCancel(ctx))
	return nil
}

// readingPause grows with the roster, so that all daemons together read the
// records at a constant rate.
func (r *Roster) readingPause() time.Duration {
	r.mu.Lock()
	n := len(r.table.ring)
	r.mu.Unlock()
	return r.jitter(min(apart*time.Duration(n), longest))
}

func (r *Roster) jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return d/2 + time.Duration(r.random.Int64N(int64(d)))
}

// callSeeds asks the seeds for their rosters while no other daemon is known.
func (r *Roster) callSeeds(ctx context.Context) {
	r.mu.Lock()
	alone := len(r.table.ring) < 2
	r.mu.Unlock()
	if !alone {
		return
	}
	for _, address := range r.options.Seeds {
		if address != r.options.Self.PeerAddress && r.beat(ctx, address) {
			r.list(ctx, address)
			return
		}
	}
}

// sync records this daemon, contacts the others that are recorded, and cleans up
// after dead ones. It reads the records after writing its own, so that of two
// daemons that start at once one sees the other.
func (s *records) sync(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 8*limit)
	defer cancel()
	own, others, err := s.read(ctx)
	if err != nil {
		return err
	}
	if wanted := s.own(own.revision); own != wanted {
		if err := s.write(ctx, wanted); err != nil {
			return err
		}
		if _, others, err = s.read(ctx); err != nil {
			return err
		}
	}
	s.contact(ctx, others)
	s.clean(ctx, others)
	return nil
}

// read returns this daemon's record, if any, and those of the others.
func (s *records) read(ctx context.Context) (own record, others []record, err error) {
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

// own is what the record of this daemon should be.
func (s *records) own(revision uint64) record {
	self := s.roster.options.Self
	return record{
		ID: self.Id, Boot: self.Boot, Peer: self.PeerAddress, Caller: self.CallerAddress,
		Domain: self.Domain, Region: self.Region, revision: revision,
	}
}

func (s *records) write(ctx context.Context, own record) error {
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

// contact beats recorded daemons that are unknown here. The first that answers
// brings its whole roster, which makes most of the others known.
func (s *records) contact(ctx context.Context, others []record) {
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
		if !s.roster.beat(ctx, other.Peer) {
			s.silent[other.ID]++
			continue
		}
		answered = true
		delete(s.silent, other.ID)
		s.roster.list(ctx, other.Peer)
	}
	if answered {
		s.roster.join()
	}
}

func (r *Roster) shuffle(records []record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.random.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
}

func (r *Roster) join() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.joined = true
}

// clean removes the records of daemons that died without removing theirs. One
// that lives behind a partition writes its record again.
func (s *records) clean(ctx context.Context, others []record) {
	for _, other := range others {
		if s.roster.longDead(other.ID) || s.silent[other.ID] >= silences {
			delete(s.silent, other.ID)
			// Failing is harmless: the next reading tries again.
			_ = s.roster.options.Store.Delete(ctx, Prefix+other.ID, other.revision)
		}
	}
}

func (r *Roster) longDead(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.table.members[id]
	return ok && known.daemon.Standing == wire.Standing_STANDING_DEAD && time.Since(known.since) >= stale
}

// remove deletes the own record. Where that fails, others clean it up.
func (s *records) remove(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, removal)
	defer cancel()
	client := s.roster.options.Store
	key := Prefix + s.roster.options.Self.Id
	if entry, err := client.Get(ctx, key); err == nil {
		_ = client.Delete(ctx, key, entry.Revision)
	}
}
