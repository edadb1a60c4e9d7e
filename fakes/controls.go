package fakes

import (
	"net/http"
	"strconv"
	"time"

	"golang.org/x/time/rate"
)

// Down sets whether the store refuses all calls as unavailable, including
// watches in progress.
func (s *Store) Down(down bool) {
	s.update(func() { s.down = down })
	s.keys.wakeWatches()
}

// Hang sets whether calls get no answer and take no effect.
func (s *Store) Hang(hang bool) { s.update(func() { s.hang = hang }) }

// LoseAnswers makes the next n successful puts and deletions take effect without
// an answer: the connection breaks. Lease calls are answered.
func (s *Store) LoseAnswers(n int) { s.update(func() { s.answersToLose = n }) }

// Delay sets how long each call waits before it takes effect.
func (s *Store) Delay(d time.Duration) { s.update(func() { s.delay = d }) }

// Limit sets how many calls per second the store accepts: writes together with
// lease calls, and all other calls. The burst is one second's calls. 0 means no
// limit.
func (s *Store) Limit(writes, others float64) {
	s.update(func() {
		s.writes = limiter(writes)
		s.reads = limiter(others)
	})
}

func limiter(rps float64) *rate.Limiter {
	if rps <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(rps), max(1, int(rps)))
}

// Compact deletes the history, so that watches have to list again.
func (s *Store) Compact() { s.keys.compact() }

// Counts returns the calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// update changes the store's settings with the lock held.
func (s *Store) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// wakeWatches makes the watches in progress check for changes and for an outage.
func (s *keyspace) wakeWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify()
}

// routeControls registers the fault controls, each with one value in the query's
// "to".
func (s *Store) routeControls() {
	s.mux.HandleFunc("GET /fake/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	s.mux.HandleFunc("POST /fake/down", setter(strconv.ParseBool, s.Down))
	s.mux.HandleFunc("POST /fake/hang", setter(strconv.ParseBool, s.Hang))
	s.mux.HandleFunc("POST /fake/lose", setter(strconv.Atoi, s.LoseAnswers))
	s.mux.HandleFunc("POST /fake/delay", setter(time.ParseDuration, s.Delay))
	s.mux.HandleFunc("POST /fake/compact", func(http.ResponseWriter, *http.Request) { s.Compact() })
}

// setter returns a handler that parses the query's "to" and passes it to set.
func setter[T any](parse func(string) (T, error), set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		value, err := parse(r.URL.Query().Get("to"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(value)
	}
}
