package stand

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's key-value store, as PROTOCOL.md describes it, with
// the drill of LETTER-4: it may come back from an older copy, with the next Store-Era.
type store struct {
	mu        sync.Mutex
	data      copyOfStore
	era       int64
	away      bool
	changed   chan struct{}
	connected map[net.Conn]struct{}
}

// copyOfStore is the data of a store.
type copyOfStore struct {
	revision int64
	items    map[string]item
	leases   map[int64]lease
	history  []item
}

// item is a key with its value, or its removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

func newStore() *store {
	return &store{
		data: copyOfStore{revision: 1, items: map[string]item{}, leases: map[int64]lease{}},
		era:  1, changed: make(chan struct{}), connected: map[net.Conn]struct{}{},
	}
}

// serve serves the store at an address until the process ends.
func (s *store) serve(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s.handler(), ConnState: s.note}
	go func() { _ = server.Serve(listener) }()
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return nil
}

// handler returns the handler of the store's calls.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.get)
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	mux.HandleFunc("POST /api/kv-txn", s.commit)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.end)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away := s.away
		s.mu.Unlock()
		if away {
			panic(http.ErrAbortHandler) // no answer
		}
		mux.ServeHTTP(w, r)
	})
}

// note keeps the open connections, which end while the store is away.
func (s *store) note(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed {
		delete(s.connected, c)
		return
	}
	s.connected[c] = struct{}{}
	if s.away {
		_ = c.Close()
	}
}

// copy returns a copy of the data as it is now.
func (s *store) copy() copyOfStore {
	s.mu.Lock()
	defer s.mu.Unlock()
	return copyOfStore{s.data.revision, maps.Clone(s.data.items), maps.Clone(s.data.leases), slices.Clone(s.data.history)}
}

// leave makes the store go away: it answers nothing and its connections end.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	for c := range s.connected {
		_ = c.Close()
	}
	s.notify()
}

// comeBack makes the store answer again, from an older copy and in the next era.
func (s *store) comeBack(c copyOfStore) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data, s.away = c, false
	s.era++
	for id, l := range s.data.leases { // a lease pauses while the store is away
		l.expires = time.Now().Add(l.ttl)
		s.data.leases[id] = l
	}
	s.notify()
}

// put writes a key, as the operator or a server does, and returns the time of the
// acknowledgement.
func (s *store) put(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data.revision++
	s.set(item{Key: key, Value: value})
	s.notify()
	return time.Now()
}

// remove removes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data.revision++
	s.unset(key)
	s.notify()
}

func (s *store) set(i item) {
	i.Revision, i.Created = s.data.revision, s.data.revision
	if old, known := s.data.items[i.Key]; known {
		i.Created = old.Created
	}
	s.data.items[i.Key] = i
	s.data.history = append(s.data.history, i)
}

func (s *store) unset(key string) {
	if _, known := s.data.items[key]; known {
		delete(s.data.items, key)
		s.data.history = append(s.data.history, item{Key: key, Revision: s.data.revision, Deleted: true})
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.data.leases {
		if !s.away && time.Now().After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.data.leases, id)
	for key, i := range s.data.items {
		if i.Lease == id {
			s.data.revision++
			s.unset(key)
		}
	}
	s.notify()
}

// answer writes an answer with the present era. The lock must be held.
func (s *store) answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, known := s.data.items[r.URL.Query().Get("key")]
	if !known {
		s.answer(w, http.StatusNotFound, map[string]any{"as_of": s.data.revision})
		return
	}
	s.answer(w, http.StatusOK, i)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	found := []item{}
	for key, i := range s.data.items {
		if strings.HasPrefix(key, q.Get("path_prefix")) && key > q.Get("after") {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	s.answer(w, http.StatusOK, map[string]any{"items": found, "has_more": false, "as_of": s.data.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		if s.away {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after > s.data.revision {
			s.answer(w, http.StatusGone, map[string]any{"as_of": s.data.revision})
			s.mu.Unlock()
			return
		}
		events := []item{}
		for _, i := range s.data.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("path_prefix")) {
				events = append(events, i)
			}
		}
		if len(events) > 0 || ended {
			s.answer(w, http.StatusOK, map[string]any{"events": events, "as_of": s.data.revision})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect []item   `json:"expect"`
		Puts   []item   `json:"puts"`
		Remove []string `json:"remove"`
	}
	data, err := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || json.Unmarshal(data, &t) != nil {
		s.answer(w, http.StatusBadRequest, nil)
		return
	}
	for _, e := range t.Expect {
		if s.data.items[e.Key].Revision != e.Revision {
			s.answer(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.data.items[e.Key]}})
			return
		}
	}
	for _, p := range t.Puts {
		if _, known := s.data.leases[p.Lease]; p.Lease != 0 && !known {
			s.answer(w, http.StatusNotFound, nil)
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			s.answer(w, http.StatusForbidden, nil)
			return
		}
	}
	s.data.revision++
	for _, p := range t.Puts {
		s.set(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range t.Remove {
		s.unset(key)
	}
	s.notify()
	s.answer(w, http.StatusOK, map[string]any{"revision": s.data.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	err := json.NewDecoder(r.Body).Decode(&body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.answer(w, http.StatusBadRequest, nil)
		return
	}
	s.data.revision++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.data.leases[s.data.revision] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.answer(w, http.StatusOK, map[string]any{"lease": s.data.revision, "ttl_ms": body.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, known := s.data.leases[id]
	if !known {
		s.answer(w, http.StatusNotFound, nil)
		return
	}
	l.expires = time.Now().Add(l.ttl)
	s.data.leases[id] = l
	s.answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.data.leases[id]; !known {
		s.answer(w, http.StatusNotFound, nil)
		return
	}
	s.endLease(id)
	s.answer(w, http.StatusOK, map[string]any{})
}
