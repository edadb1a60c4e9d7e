package entry

import (
	"slices"
	"sync"
)

// maxDispatched bounds the requests in a dispatchedSet.
const maxDispatched = 4096

// dispatchedSet holds the keys of requests that aren't repeatable and that this
// daemon has dispatched. With it, the daemon reports for a later attempt, while
// the store of records is unreachable, that it is unknown whether the request
// has run, rather than that it has not. The oldest keys are dropped first.
type dispatchedSet struct {
	mu    sync.Mutex
	keys  map[string]bool
	order []string
}

func newDispatchedSet() *dispatchedSet { return &dispatchedSet{keys: map[string]bool{}} }

func (s *dispatchedSet) add(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys[key] {
		return
	}
	if len(s.order) >= maxDispatched {
		delete(s.keys, s.order[0])
		s.order = s.order[1:]
	}
	s.keys[key] = true
	s.order = append(s.order, key)
}

// remove deletes a request that proved not to have run.
func (s *dispatchedSet) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.keys, key)
	s.order = slices.DeleteFunc(s.order, func(k string) bool { return k == key })
}

func (s *dispatchedSet) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[key]
}
