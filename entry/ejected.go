package entry

import (
	"sync"
	"time"
)

// ejectTime is how long a replica that failed is tried last. Its gate detects
// the failure within about the same time.
const ejectTime = time.Second

// ejected holds the replicas that failed recently: their endpoint could not be
// reached, crashed or broke the connection. Other requests then don't spend
// their retries on them.
type ejected struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newEjected() *ejected { return &ejected{until: map[string]time.Time{}} }

// add ejects a replica for ejectTime and deletes expired entries.
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

// has reports whether a replica failed within the last ejectTime.
func (s *ejected) has(replica string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.until[replica]
	return ok && time.Now().Before(until)
}

// empty reports whether there are no entries, expired ones included. It is the
// usual case.
func (s *ejected) empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.until) == 0
}
