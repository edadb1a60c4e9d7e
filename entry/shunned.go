package entry

import (
	"sync"
	"time"
)

// shunTime is how long a replica that failed is asked last. Its gate finds out
// within about as long.
const shunTime = time.Second

// shunned remembers the replicas whose endpoint a dispatch did not reach or saw
// die, so that the requests behind it don't spend their retries on it.
type shunned struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newShunned() *shunned { return &shunned{until: map[string]time.Time{}} }

// add notes a failure, and forgets those that are over.
func (s *shunned) add(replica string) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, until := range s.until {
		if now.After(until) {
			delete(s.until, id)
		}
	}
	s.until[replica] = now.Add(shunTime)
}

// has reports whether a replica failed lately.
func (s *shunned) has(replica string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.until[replica]
	return ok && time.Now().Before(until)
}

// empty reports whether nothing was noted since the last failures were
// forgotten, which is the usual case.
func (s *shunned) empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.until) == 0
}
