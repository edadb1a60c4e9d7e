package fakes

import (
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"clementinehead.example/chead/store"
)

// history is the number of changes that watches can look back on.
const history = 4096

// space holds the keys, their leases and the history of their changes.
type space struct {
	mu        sync.Mutex
	changed   chan struct{} // closed and replaced at each change
	revision  uint64
	entries   map[string]store.Entry
	log       []store.Entry // changes, oldest first
	compacted uint64        // the revision up to which the log is gone
	leases    map[uint64]*lease
	granted   uint64 // the last lease given out
}

// lease is a lease with the timer that ends it.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

func newSpace() *space {
	return &space{
		changed: make(chan struct{}),
		entries: map[string]store.Entry{},
		leases:  map[uint64]*lease{},
	}
}

// record notes a change of an entry. It is called with the lock held.
func (s *space) record(entry store.Entry) store.Entry {
	s.revision++
	entry.Revision = s.revision
	if entry.Deleted {
		delete(s.entries, entry.Key)
	} else {
		s.entries[entry.Key] = entry
	}
	s.log = append(s.log, entry)
	if len(s.log) > history {
		s.compactTo(s.log[len(s.log)-history-1].Revision)
	}
	s.notify()
	return entry
}

// compactTo is called with the lock held.
func (s *space) compactTo(revision uint64) {
	s.compacted = revision
	s.log = slices.DeleteFunc(s.log, func(e store.Entry) bool { return e.Revision <= revision })
}

func (s *space) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactTo(s.revision)
	s.notify()
}

// notify is called with the lock held.
func (s *space) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *space) get(key string) (store.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.entries[key]
	return entry, ok
}

// list returns the entries under a prefix, by key.
func (s *space) list(prefix string) store.Listing {
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

// outcome is what became of a write.
type outcome int

const (
	written outcome = iota
	conflicting
	leaseless
	missing
)

func (s *space) put(put store.Put) (store.Entry, outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[put.Key].Revision != put.Prev {
		return store.Entry{}, conflicting
	}
	if put.Lease != 0 && s.leases[put.Lease] == nil {
		return store.Entry{}, leaseless
	}
	return s.record(store.Entry{Key: put.Key, Value: put.Value, Lease: put.Lease}), written
}

func (s *space) remove(key string, prev uint64) outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.entries[key]
	if !ok {
		return missing
	}
	if entry.Revision != prev {
		return conflicting
	}
	s.record(store.Entry{Key: key, Deleted: true})
	return written
}

// since returns the changes under a prefix after a revision, and a channel
// that is closed at the next change.
func (s *space) since(prefix string, after uint64) (store.Listing, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listing := store.Listing{Revision: s.revision, Compact: after < s.compacted}
	if listing.Compact {
		return listing, s.changed
	}
	for _, entry := range s.log[s.firstAfter(after):] {
		if strings.HasPrefix(entry.Key, prefix) {
			listing.Entries = append(listing.Entries, entry)
		}
	}
	return listing, s.changed
}

// firstAfter returns the place in the log of the first change after a
// revision. It is called with the lock held.
func (s *space) firstAfter(revision uint64) int {
	return sort.Search(len(s.log), func(i int) bool { return s.log[i].Revision > revision })
}

func (s *space) grant(ttl time.Duration) store.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granted++
	id := s.granted
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.revoke(id) })}
	return store.Lease{ID: id, TTL: ttl}
}

// keep reports whether the lease still held.
func (s *space) keep(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil || !l.timer.Stop() {
		return false
	}
	l.timer.Reset(l.ttl)
	return true
}

// revoke ends a lease, deletes its keys and reports whether it held.
func (s *space) revoke(id uint64) bool {
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
