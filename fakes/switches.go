package fakes

import (
	"net/http"
	"strconv"
	"time"

	"golang.org/x/time/rate"
)

// Down sets whether the store refuses all calls as unavailable. Watches that
// wait are refused as well.
func (s *Store) Down(down bool) {
	s.set(func() { s.down = down })
	s.space.wake()
}

// Hang sets whether calls get no answer and take no effect.
func (s *Store) Hang(hang bool) { s.set(func() { s.hang = hang }) }

// LoseAnswers makes the next n writes take effect without an answer: the
// connection breaks.
func (s *Store) LoseAnswers(n int) { s.set(func() { s.lose = n }) }

// Delay sets how long each call waits before it takes effect.
func (s *Store) Delay(d time.Duration) { s.set(func() { s.delay = d }) }

// Limit sets how many calls a second the store takes, writes with calls of
// leases and all others, with a burst of one second's; 0 is for no limit.
func (s *Store) Limit(writes, others float64) {
	s.set(func() {
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

// Compact drops the history, so that watches have to list anew.
func (s *Store) Compact() { s.space.compact() }

// Counts returns the calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Store) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// wake lets watches look again.
func (s *space) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify()
}

// routeSwitches serves the switches, each with one value in the query's "to".
func (s *Store) routeSwitches() {
	s.mux.HandleFunc("GET /fake/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	s.mux.HandleFunc("POST /fake/down", toggle(strconv.ParseBool, s.Down))
	s.mux.HandleFunc("POST /fake/hang", toggle(strconv.ParseBool, s.Hang))
	s.mux.HandleFunc("POST /fake/lose", toggle(strconv.Atoi, s.LoseAnswers))
	s.mux.HandleFunc("POST /fake/delay", toggle(time.ParseDuration, s.Delay))
	s.mux.HandleFunc("POST /fake/compact", func(http.ResponseWriter, *http.Request) { s.Compact() })
}

// toggle reads the query's "to" and sets a switch to it.
func toggle[T any](parse func(string) (T, error), set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		value, err := parse(r.URL.Query().Get("to"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(value)
	}
}
