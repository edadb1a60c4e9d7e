package simul

import (
	"net/http"
	"strconv"
	"sync"
)

// Store simulates the platform's key-value store. Use NewStore to create one.
type Store struct {
	mu          sync.Mutex
	revision    int64
	items       map[string]item
	history     []item // changes since the last compaction, by revision
	leases      map[int64]lease
	changed     chan struct{} // closed and replaced by notify
	down        bool          // all calls are refused
	loseAnswers bool          // the answers to commits, lease grants and lease renewals are lost
	compacted   int64         // revision up to which the history has been dropped
	era         int64         // rises with each Restore
	limit       int           // most changes in an answer to a watch, 0 for all
	mux         *http.ServeMux
}

// item is a key with its value, or a deletion in the history.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// ItemPath is the path to which simulated operators and endpoints write, with the
// key in the query.
const ItemPath = "/mimic/item"

// pageSize is the maximum number of items of a list answer.
const pageSize = 500

// NewStore returns an empty store at revision 1.
func NewStore() *Store {
	s := &Store{revision: 1, era: 1, items: map[string]item{}, leases: map[int64]lease{}, changed: make(chan struct{}), mux: http.NewServeMux()}
	s.mux.HandleFunc("PUT "+ItemPath, s.putItem)
	s.mux.HandleFunc("GET /api/kv-key", s.getItem)
	s.mux.HandleFunc("GET /api/kv-range", s.list)
	s.mux.HandleFunc("GET /api/kv-watch", s.watch)
	s.mux.HandleFunc("POST /api/kv-txn", s.commit)
	s.mux.HandleFunc("POST /api/kv-lease", s.grant)
	s.mux.HandleFunc("POST /api/kv-keep/{id}", s.renew)
	s.mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.revoke)
	return s
}

// ServeHTTP handles the calls of the store's interface.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expire()
	down, lost := s.down, s.loseAnswers && r.Method == http.MethodPost
	s.setEra(w)
	s.mu.Unlock()
	if down {
		refuse(w)
		return
	}
	if lost {
		s.mux.ServeHTTP(&discardWriter{http.Header{}}, r)
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	s.mux.ServeHTTP(w, r)
}

// refuse answers a call that the store doesn't serve.
func refuse(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }

// setEra states the era in a response. The caller holds the lock.
func (s *Store) setEra(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
}

// discardWriter discards a response.
type discardWriter struct{ header http.Header }

func (n *discardWriter) Header() http.Header         { return n.header }
func (n *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (n *discardWriter) WriteHeader(int)             {}

// SetLoseAnswers makes the store carry out commits, lease grants and lease renewals
// and lose the answers to them, or switches back to normal answers.
func (s *Store) SetLoseAnswers(lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswers = lose
}

// SetAnswerLimit bounds the changes in an answer to a watch, but for those of one revision;
// 0 is for all. The daemon continues from the revision that the answer states.
func (s *Store) SetAnswerLimit(changes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = changes
}

// SetDown makes the store refuse all calls, or serve them again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify() // ends pending watches
}

// Compact drops the history, so that watches from older revisions fail.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compacted = s.revision
}

// Put writes a key, as an operator or an endpoint does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(item{Key: key, Value: value})
	s.notify()
}

// Remove deletes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notify()
}

// RemoveRunner deletes a runner's entry, as the platform does some time after the
// runner has ended.
func (s *Store) RemoveRunner(id string) { s.Remove("servers/" + id) }

// put writes an item at the current revision. The caller holds the lock.
func (s *Store) put(i item) {
	i.Revision = s.revision
	i.Created = s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	s.items[i.Key] = i
	s.history = append(s.history, i)
}

// remove deletes a key at the current revision. The caller holds the lock.
func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

// notify wakes pending watches. The caller holds the lock.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
