package entry

import (
	"sync"
	"time"
)

// ejectTime is how long a replica that failed is asked last. Its gate finds out
// within about as long.
const ejectTime = time.Second

// ejected remembers the replicas whose endpoint a dispatch did not reach or saw
// die, so that the requests behind it don't spend their retries on it.
type ejected struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newEjected() *ejected { return &ejected{until: map[string]time.Time{}} }

// add notes a failure, and forgets those that are over.
func (s *ejected) add(replica string) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, until := range s.until {
		if now.After(until) {
			delete(s.until, id)
		}
	}
	s.until[replica] = now.Add(ejectTime)
}

// has reports whether a replica failed lately.
func (s *ejected) has(replica string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.until[replica]
	return ok && time.Now().Before(until)
}

// empty reports whether nothing was noted since the last failures were
// forgotten, which is the usual case.
func (s *ejected) empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.until) == 0
}
