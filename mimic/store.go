package mimic

import (
	"net/http"
	"sync"
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
