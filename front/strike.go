package front

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"clementinehead.example/chead/platform"
)

const (
	strikeApart  = 3 * time.Second  // crashes of one endpoint that count as one
	strikeMost   = 3                // crashes after which a request is refused
	strikeMemory = 60 * time.Second // of a crash
	strikeBook   = 4096             // requests
)

// Strikes remembers requests in whose run endpoints crashed, by a digest of
// their path, caller and body. One that was served whole is cleared, so that
// equal requests which stood in the crashes of others aren't refused. The zero
// value is empty.
type Strikes struct {
	mu   sync.Mutex
	book map[string]strike
}

type strike struct {
	count    int
	told     int // by other daemons
	endpoint string
	last     time.Time
	served   time.Time
}

// digest tells a request that comes again from others.
func digest(j *job) string {
	d := xxhash.New()
	_, _ = d.WriteString(j.r.Method + "\x00" + j.r.RequestURI + "\x00" + platform.Key(j.r.Header) + "\x00")
	_, _ = d.Write(j.body)
	return strconv.FormatUint(d.Sum64(), 36)
}

// Add notes the crash of an endpoint and returns how many are known here.
func (s *Strikes) Add(digest, endpoint string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.book == nil {
		s.book = map[string]strike{}
	}
	if len(s.book) >= strikeBook {
		s.sweep(time.Now())
	}
	entry := s.book[digest]
	if entry.endpoint == endpoint && time.Since(entry.last) < strikeApart {
		return entry.count
	}
	entry.count++
	entry.endpoint = endpoint
	entry.last = time.Now()
	s.book[digest] = entry
	return entry.count
}

// Clear notes that a request was served whole.
func (s *Strikes) Clear(digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry, known := s.book[digest]; known {
		entry.count = 0
		entry.served = time.Now()
		s.book[digest] = entry
	}
}

// Out reports whether a request is refused for its crashes.
func (s *Strikes) Out(digest string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.book[digest]
	if time.Since(entry.served) < strikeMemory {
		return entry.count >= strikeMost
	}
	return entry.count+entry.told >= strikeMost && time.Since(entry.last) < strikeMemory
}

// Told returns this daemon's own counts, for the others.
func (s *Strikes) Told() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(time.Now())
	counts := map[string]int{}
	for d, entry := range s.book {
		if entry.count > 0 {
			counts[d] = entry.count
		}
	}
	return counts
}

// Hear takes the sums of the other daemons' counts.
func (s *Strikes) Hear(sums map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.book == nil {
		s.book = map[string]strike{}
	}
	for d, n := range sums {
		entry := s.book[d]
		if n > entry.told {
			entry.last = time.Now()
		}
		entry.told = n
		s.book[d] = entry
	}
}

func (s *Strikes) sweep(now time.Time) {
	for d, entry := range s.book {
		if now.Sub(entry.last) > strikeMemory {
			delete(s.book, d)
		}
	}
}
