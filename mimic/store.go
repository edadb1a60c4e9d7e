package mimic

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's store. Use NewStore.
type Store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]lease
	changed  chan struct{}
	down     bool
	loses    bool  // answers to changes
	kept     int64 // history up to this revision is gone
	mux      *http.ServeMux
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// ItemPath is where operators' and endpoints' stand-ins write, with the key in
// the query.
const ItemPath = "/mimic/item"

const pageItems = 500

// NewStore returns an empty store at revision 1.
func NewStore() *Store {
	s := &Store{revision: 1, items: map[string]item{}, leases: map[int64]lease{}, changed: make(chan struct{}), mux: http.NewServeMux()}
	s.mux.HandleFunc("PUT "+ItemPath, s.write)
	s.mux.HandleFunc("GET /api/kv-key", s.get)
	s.mux.HandleFunc("GET /api/kv-range", s.list)
	s.mux.HandleFunc("GET /api/kv-watch", s.watch)
	s.mux.HandleFunc("POST /api/kv-txn", s.commit)
	s.mux.HandleFunc("POST /api/kv-lease", s.grant)
	s.mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	s.mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.end)
	return s
}

// ServeHTTP answers the calls of the store.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expire()
	down, loses := s.down, s.loses && r.Method == http.MethodPost
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if loses {
		s.mux.ServeHTTP(&noAnswer{http.Header{}}, r)
		panic(http.ErrAbortHandler) // the connection ends without an answer
	}
	s.mux.ServeHTTP(w, r)
}

// noAnswer takes an answer that nobody gets.
type noAnswer struct{ header http.Header }

func (n *noAnswer) Header() http.Header         { return n.header }
func (n *noAnswer) Write(b []byte) (int, error) { return len(b), nil }
func (n *noAnswer) WriteHeader(int)             {}

// SetLosing makes the store carry changes out and lose the answers, or answer
// again.
func (s *Store) SetLosing(loses bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loses = loses
}

// SetDown makes the store refuse all calls, or serve again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.announce() // watches that wait are cut
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.kept = s.revision
}

// Put writes a key as an operator or an endpoint does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(item{Key: key, Value: value})
	s.announce()
}

// Remove takes a key out.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.announce()
}

// RemoveRunner takes a runner's entry out, as the platform does some time after
// its death.
func (s *Store) RemoveRunner(id string) { s.Remove("servers/" + id) }

func (s *Store) put(i item) {
	i.Revision = s.revision
	i.Created = s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	s.items[i.Key] = i
	s.history = append(s.history, i)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends leases whose time is over, with their keys.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
	s.announce()
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *Store) write(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Put(r.URL.Query().Get("key"), value)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, i)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > pageItems
	if more {
		found = found[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": found, "has_more": more, "as_of": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		s.expire()
		if s.down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after < s.kept {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events, revision, changed := s.since(query.Get("path_prefix"), after), s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) since(prefix string, after int64) []item {
	found := []item{}
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			found = append(found, i)
		}
	}
	return found
}

type transaction struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expect"`
	Puts   []item   `json:"puts"`
	Remove []string `json:"remove"`
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := decode(r, &t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expect {
		if s.items[e.Key].Revision != e.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[e.Key]}})
			return
		}
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, known := s.leases[p.Lease]; p.Lease != 0 && !known {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.put(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.announce()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func decode(r *http.Request, into any) error {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var ask struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := decode(r, &ask); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(ask.TTL) * time.Millisecond
	s.leases[s.revision] = lease{ttl: ttl, until: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": ask.TTL})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.until = time.Now().Add(l.ttl)
	s.leases[id] = l
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
