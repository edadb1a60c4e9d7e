package fakes

import (
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"clementinehead.example/chead/store"
)

// maxHistory is the number of past changes that watches can read.
const maxHistory = 4096

// keyspace holds the keys, their leases and the history of their changes.
type keyspace struct {
	mu        sync.Mutex
	changed   chan struct{} // closed and replaced by notify: at each change or compaction, and when the store goes down
	revision  uint64
	entries   map[string]store.Entry
	log       []store.Entry // changes, oldest first
	compacted uint64        // the revision up to which the log is deleted
	leases    map[uint64]*lease
	lastLease uint64 // id of the last lease granted
}

// lease is a valid lease. When its timer fires, it ends and its keys are deleted.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

func newKeyspace() *keyspace {
	return &keyspace{
		changed: make(chan struct{}),
		entries: map[string]store.Entry{},
		leases:  map[uint64]*lease{},
	}
}

// record applies a change to an entry, adds it to the log and returns it with its
// revision, the next one. It must be called with the lock held.
func (s *keyspace) record(entry store.Entry) store.Entry {
	s.revision++
	entry.Revision = s.revision
	if entry.Deleted {
		delete(s.entries, entry.Key)
	} else {
		s.entries[entry.Key] = entry
	}
	s.log = append(s.log, entry)
	if len(s.log) > maxHistory {
		s.compactTo(s.log[len(s.log)-maxHistory-1].Revision)
	}
	s.notify()
	return entry
}

// compactTo deletes the log up to a revision. It must be called with the lock
// held.
func (s *keyspace) compactTo(revision uint64) {
	s.compacted = revision
	s.log = slices.DeleteFunc(s.log, func(e store.Entry) bool { return e.Revision <= revision })
}

// compact deletes the whole log.
func (s *keyspace) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactTo(s.revision)
	s.notify()
}

// notify wakes all watches. It must be called with the lock held.
func (s *keyspace) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *keyspace) get(key string) (store.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.entries[key]
	return entry, ok
}

// list returns the entries under a prefix, sorted by key.
func (s *keyspace) list(prefix string) store.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	listing := store.Listing{Revision: s.revision}
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			listing.Entries = append(listing.Entries, entry)
		}
	}
	slices.SortFunc(listing.Entries, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	return listing
}

// outcome is the result of a write.
type outcome int

const (
	written      outcome = iota
	conflict             // the key is at another revision
	unknownLease         // the lease of a put does not exist
	unknownKey           // the key to remove does not exist
)

// put writes a key if its revision equals put.Prev, which is 0 for a new key.
func (s *keyspace) put(put store.Put) (store.Entry, outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[put.Key].Revision != put.Prev {
		return store.Entry{}, conflict
	}
	if put.Lease != 0 && s.leases[put.Lease] == nil {
		return store.Entry{}, unknownLease
	}
	return s.record(store.Entry{Key: put.Key, Value: put.Value, Lease: put.Lease}), written
}

// remove deletes a key if its revision equals prev.
func (s *keyspace) remove(key string, prev uint64) outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.entries[key]
	if !ok {
		return unknownKey
	}
	if entry.Revision != prev {
		return conflict
	}
	s.record(store.Entry{Key: key, Deleted: true})
	return written
}

// changesSince returns the changes under a prefix after a revision, and a channel
// that the next notify closes. If the history after that revision is no longer
// complete, the listing has no entries and Compacted is set.
func (s *keyspace) changesSince(prefix string, after uint64) (store.Listing, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listing := store.Listing{Revision: s.revision, Compacted: after < s.compacted}
	if listing.Compacted {
		return listing, s.changed
	}
	for _, entry := range s.log[s.firstAfter(after):] {
		if strings.HasPrefix(entry.Key, prefix) {
			listing.Entries = append(listing.Entries, entry)
		}
	}
	return listing, s.changed
}

// firstAfter returns the index in the log of the first change after a revision.
// It must be called with the lock held.
func (s *keyspace) firstAfter(revision uint64) int {
	return sort.Search(len(s.log), func(i int) bool { return s.log[i].Revision > revision })
}

// grant creates a lease that expires after ttl.
func (s *keyspace) grant(ttl time.Duration) store.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id := s.lastLease
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.revoke(id) })}
	return store.Lease{ID: id, TTL: ttl}
}

// keep renews a lease and reports whether it was still valid.
func (s *keyspace) keep(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil || !l.timer.Stop() {
		return false
	}
	l.timer.Reset(l.ttl)
	return true
}

// revoke ends a lease, deletes its keys and reports whether it was valid.
func (s *keyspace) revoke(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.timer.Stop()
	delete(s.leases, id)
	var keys []string
	for key, entry := range s.entries {
		if entry.Lease == id {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		s.record(store.Entry{Key: key, Deleted: true})
	}
	return true
}
