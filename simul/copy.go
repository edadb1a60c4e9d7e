package simul

import "maps"

// Copy is a copy of a store's data.
type Copy struct {
	revision int64
	items    map[string]item
	leases   map[int64]lease
	history  []item
}

// Copy returns a copy of the store's data.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.revision, maps.Clone(s.items), maps.Clone(s.leases), append([]item(nil), s.history...)}
}

// Restore replaces the store's data by an older copy and raises the era. Pending
// watches end. Revisions and lease ids after those of the copy are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision = c.revision
	s.items = maps.Clone(c.items)
	s.leases = maps.Clone(c.leases)
	s.history = append([]item(nil), c.history...)
	s.notify()
}
