package fakes

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"clementinehead.example/chead/clock"
)

// MaxValue is the largest value that the store takes, in bytes.
const MaxValue = 1 << 20

// Counts are the calls that the store has had, by kind. Those that it turned
// down are counted among their kind as well.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Leases  uint64 `json:"leases"`
	Lists   uint64 `json:"lists"`
	Limited uint64 `json:"limited"` // answered 429
	Down    uint64 `json:"down"`    // answered 503
	Lost    uint64 `json:"lost"`    // took effect, the answer was lost
}

// Store stands in for the platform's key-value service and its list of
// instances, as an http.Handler with the contract of package store. The
// switches are also served under /fake/.
type Store struct {
	mux   *http.ServeMux
	space *space
	list  *list

	mu     sync.Mutex
	counts Counts
	down   bool
	hang   bool
	lose   int           // answers to writes yet to lose
	delay  time.Duration // before each call
	reads  *rate.Limiter // of reads, watches and lists
	writes *rate.Limiter // of writes and leases
}

// NewStore returns an empty store without limits on its rates.
func NewStore() *Store {
	s := &Store{
		mux:    http.NewServeMux(),
		space:  newSpace(),
		list:   newList(),
		reads:  rate.NewLimiter(rate.Inf, 0),
		writes: rate.NewLimiter(rate.Inf, 0),
	}
	s.route()
	return s
}

func (s *Store) route() {
	s.mux.HandleFunc("GET /v1/kv/{key}", s.call(reading, s.get))
	s.mux.HandleFunc("GET /v1/kv", s.call(reading, s.listKeys))
	s.mux.HandleFunc("PUT /v1/kv/{key}", s.call(writing, s.put))
	s.mux.HandleFunc("DELETE /v1/kv/{key}", s.call(writing, s.remove))
	s.mux.HandleFunc("GET /v1/watch", s.call(watching, s.watch))
	s.mux.HandleFunc("POST /v1/leases", s.call(leasing, s.grant))
	s.mux.HandleFunc("POST /v1/leases/{id}", s.call(leasing, s.keep))
	s.mux.HandleFunc("DELETE /v1/leases/{id}", s.call(leasing, s.revoke))
	s.mux.HandleFunc("GET /v1/instances", s.call(listing, s.instances))
	s.mux.HandleFunc("PUT /v1/instances/{id}", s.register)
	s.mux.HandleFunc("DELETE /v1/instances/{id}", s.deregister)
	s.routeSwitches()
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// kind is a kind of call.
type kind int

const (
	reading kind = iota
	writing
	watching
	leasing
	listing
)

// answer is what a call came to: a status and a JSON value, or a reason where
// the status is not 200.
type answer struct {
	status int
	value  any
	reason string
	tag    string // of a value that is sent only where the caller lacks it
}

func found(value any) answer { return answer{status: http.StatusOK, value: value} }

func refuse(status int, reason string) answer { return answer{status: status, reason: reason} }

// call wraps the answer to a kind of call with the store's faults.
func (s *Store) call(k kind, serve func(r *http.Request) answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		buffer(r)
		if refusal, refused := s.admit(k, r); refused {
			refusal.write(w)
			return
		}
		result := serve(r)
		if k == writing && result.status == http.StatusOK && s.loses() {
			panic(http.ErrAbortHandler)
		}
		result.write(w)
	}
}

// admit applies the delay, the outage and the rates to a call.
func (s *Store) admit(k kind, r *http.Request) (answer, bool) {
	s.mu.Lock()
	s.count(k)
	delay, down, hang := s.delay, s.down, s.hang
	limiter := s.reads
	if k == writing || k == leasing {
		limiter = s.writes
	}
	s.mu.Unlock()
	if hang {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !clock.Sleep(r.Context(), delay) {
		panic(http.ErrAbortHandler)
	}
	if down {
		s.note(func(c *Counts) { c.Down++ })
		return refuse(http.StatusServiceUnavailable, "the service is down"), true
	}
	if !limiter.Allow() {
		s.note(func(c *Counts) { c.Limited++ })
		return refuse(http.StatusTooManyRequests, "over the service's rate"), true
	}
	return answer{}, false
}

// count is called with the lock held.
func (s *Store) count(k kind) {
	switch k {
	case reading:
		s.counts.Reads++
	case writing:
		s.counts.Writes++
	case watching:
		s.counts.Watches++
	case leasing:
		s.counts.Leases++
	case listing:
		s.counts.Lists++
	}
}

func (s *Store) note(change func(c *Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counts)
}

// loses reports whether the answer to a write is to be lost.
func (s *Store) loses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lose == 0 {
		return false
	}
	s.lose--
	s.counts.Lost++
	return true
}

func (a answer) write(w http.ResponseWriter) {
	if a.tag != "" {
		w.Header().Set("ETag", a.tag)
	}
	switch a.status {
	case http.StatusOK:
		writeJSON(w, a.value)
	case http.StatusNotModified:
		w.WriteHeader(a.status)
	default:
		http.Error(w, a.reason, a.status)
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
