package entry

import (
	"slices"
	"sync"
)

// maxSeen is the number of not-repeatable requests that a daemon remembers.
const maxSeen = 4096

// seen remembers the not-repeatable requests that this daemon has dispatched,
// so that it doesn't say of a later attempt that the request was not run while
// the store can't be asked. The oldest are forgotten first.
type seen struct {
	mu    sync.Mutex
	keys  map[string]bool
	order []string
}

func newSeen() *seen { return &seen{keys: map[string]bool{}} }

func (s *seen) add(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys[key] {
		return
	}
	if len(s.order) >= maxSeen {
		delete(s.keys, s.order[0])
		s.order = s.order[1:]
	}
	s.keys[key] = true
	s.order = append(s.order, key)
}

// remove forgets a request that turned out not to have run.
func (s *seen) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.keys, key)
	s.order = slices.DeleteFunc(s.order, func(k string) bool { return k == key })
}

func (s *seen) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[key]
}
