package simul

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

// reply writes a response with the body encoded as JSON.
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

// putItem handles a write by an operator or an endpoint.
func (s *Store) putItem(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Put(r.URL.Query().Get("key"), value)
}

// getItem handles a read of one key.
func (s *Store) getItem(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, i)
}

// list handles a read of all keys with a prefix, in pages of pageSize items.
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
	more := len(found) > pageSize
	if more {
		found = found[:pageSize]
	}
	reply(w, http.StatusOK, map[string]any{"items": found, "has_more": more, "as_of": s.revision})
}

// watch handles a long poll for changes after a revision. It answers as soon as
// there is a change, or without events after the wait. It answers Gone if the
// history that it needs has been compacted.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		s.expire()
		s.setEra(w)
		if s.down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after < s.compacted || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events, revision := s.part(s.since(query.Get("path_prefix"), after))
		changed := s.changed
		s.mu.Unlock()
		if len(events) > 0 || timedOut {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes of keys with a prefix after a revision.
func (s *Store) since(prefix string, after int64) []item {
	found := []item{}
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			found = append(found, i)
		}
	}
	return found
}

// part returns the first of all changes, as SetAnswerLimit says, and the revision to which
// they are complete. The caller holds the lock.
func (s *Store) part(changes []item) ([]item, int64) {
	if s.limit == 0 {
		return changes, s.revision
	}
	for i := s.limit; i < len(changes); i++ {
		if last := changes[i-1].Revision; changes[i].Revision != last {
			return changes[:i], last
		}
	}
	return changes, s.revision
}

// transaction is the body of a transaction: all changes are made if every expected
// revision matches, none otherwise.
type transaction struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expect"`
	Puts   []item   `json:"puts"`
	Remove []string `json:"remove"`
}

// commit handles a transaction of a daemon. Daemons may not write under op/ and
// servers/.
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
	s.notify()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

// decode decodes the JSON body of a request into out.
func decode(r *http.Request, out any) error {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, out)
}
