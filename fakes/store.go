package fakes

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"clementinehead.example/chead/clock"
)

// MaxValue is the size of the largest value that the store accepts, in bytes.
const MaxValue = 1 << 20

// Counts holds the number of calls that the store received, by kind. Refused
// calls are included.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Leases  uint64 `json:"leases"`
	Lists   uint64 `json:"lists"`
	Limited uint64 `json:"limited"` // answered 429
	Down    uint64 `json:"down"`    // answered 503
	Lost    uint64 `json:"lost"`    // took effect, but the answer was lost
}

// Store is a stand-in for the platform's key-value service and its list of
// instances. It is an http.Handler with the contract of package store, and
// serves its fault controls under /fake/. Faults and rate limits don't apply to the
// registration of instances.
type Store struct {
	mux  *http.ServeMux
	keys *keyspace
	list *list

	mu            sync.Mutex
	counts        Counts
	down          bool
	hang          bool
	answersToLose int           // number of answers to writes still to lose
	delay         time.Duration // before each call
	reads         *rate.Limiter // of reads, watches and lists
	writes        *rate.Limiter // of writes and leases
}

// NewStore returns an empty store without rate limits.
func NewStore() *Store {
	s := &Store{
		mux:    http.NewServeMux(),
		keys:   newKeyspace(),
		list:   newList(),
		reads:  rate.NewLimiter(rate.Inf, 0),
		writes: rate.NewLimiter(rate.Inf, 0),
	}
	s.route()
	return s
}

func (s *Store) route() {
	s.mux.HandleFunc("GET /v1/kv/{key}", s.withFaults(reading, s.get))
	s.mux.HandleFunc("GET /v1/kv", s.withFaults(reading, s.listKeys))
	s.mux.HandleFunc("PUT /v1/kv/{key}", s.withFaults(writing, s.put))
	s.mux.HandleFunc("DELETE /v1/kv/{key}", s.withFaults(writing, s.remove))
	s.mux.HandleFunc("GET /v1/watch", s.withFaults(watching, s.watch))
	s.mux.HandleFunc("POST /v1/leases", s.withFaults(leasing, s.grant))
	s.mux.HandleFunc("POST /v1/leases/{id}", s.withFaults(leasing, s.keep))
	s.mux.HandleFunc("DELETE /v1/leases/{id}", s.withFaults(leasing, s.revoke))
	s.mux.HandleFunc("GET /v1/instances", s.withFaults(listing, s.instances))
	s.mux.HandleFunc("PUT /v1/instances/{id}", s.register)
	s.mux.HandleFunc("DELETE /v1/instances/{id}", s.deregister)
	s.routeControls()
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// callKind is a kind of call.
type callKind int

const (
	reading callKind = iota
	writing
	watching
	leasing
	listing
)

// answer is the result of a call: a status with a JSON value, or with a reason
// if the status is not 200.
type answer struct {
	status int
	value  any
	reason string
	tag    string // entity tag of a value that is sent only if the caller does not have it
}

// success returns an answer with status 200.
func success(value any) answer { return answer{status: http.StatusOK, value: value} }

// refuse returns an answer with an error status.
func refuse(status int, reason string) answer { return answer{status: status, reason: reason} }

// withFaults adds the store's faults to the handler of a kind of call.
func (s *Store) withFaults(k callKind, serve func(r *http.Request) answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		bufferBody(r)
		if refusal, refused := s.admit(k, r); refused {
			refusal.write(w)
			return
		}
		result := serve(r)
		if k == writing && result.status == http.StatusOK && s.losesAnswer() {
			panic(http.ErrAbortHandler)
		}
		result.write(w)
	}
}

// admit applies the hang, delay, outage and rate limits to a call. It returns
// the refusal and whether there is one.
func (s *Store) admit(k callKind, r *http.Request) (answer, bool) {
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
		s.updateCounts(func(c *Counts) { c.Down++ })
		return refuse(http.StatusServiceUnavailable, "the service is down"), true
	}
	if !limiter.Allow() {
		s.updateCounts(func(c *Counts) { c.Limited++ })
		return refuse(http.StatusTooManyRequests, "over the service's rate"), true
	}
	return answer{}, false
}

// count counts a call. It must be called with the lock held.
func (s *Store) count(k callKind) {
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

func (s *Store) updateCounts(change func(c *Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counts)
}

// losesAnswer reports whether the answer to a write is to be lost, and counts
// it.
func (s *Store) losesAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answersToLose == 0 {
		return false
	}
	s.answersToLose--
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
