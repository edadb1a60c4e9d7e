package fakes

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"clementinehead.example/chead/store"
)

// maxWait bounds a watch.
const maxWait = 5 * time.Minute

func (s *Store) get(r *http.Request) answer {
	entry, ok := s.space.get(r.PathValue("key"))
	if !ok {
		return refuse(http.StatusNotFound, "no such key")
	}
	return found(entry)
}

func (s *Store) listKeys(r *http.Request) answer {
	return found(s.space.list(r.URL.Query().Get("prefix")))
}

func (s *Store) put(r *http.Request) answer {
	var put store.Put
	if err := json.NewDecoder(r.Body).Decode(&put); err != nil {
		return refuse(http.StatusBadRequest, err.Error())
	}
	if put.Key != r.PathValue("key") {
		return refuse(http.StatusBadRequest, "the body names another key")
	}
	if len(put.Value) > MaxValue {
		return refuse(http.StatusRequestEntityTooLarge, "the value is too large")
	}
	entry, result := s.space.put(put)
	if result != written {
		return result.refusal()
	}
	return found(store.Entry{Key: entry.Key, Revision: entry.Revision})
}

func (s *Store) remove(r *http.Request) answer {
	prev, err := strconv.ParseUint(r.URL.Query().Get("prev"), 10, 64)
	if err != nil {
		return refuse(http.StatusBadRequest, "prev is not a revision")
	}
	result := s.space.remove(r.PathValue("key"), prev)
	if result != written {
		return result.refusal()
	}
	return found(struct{}{})
}

func (o outcome) refusal() answer {
	switch o {
	case conflicting:
		return refuse(http.StatusConflict, "the key is at another revision")
	case missing:
		return refuse(http.StatusNotFound, "no such key")
	default:
		return refuse(http.StatusNotFound, "no such lease")
	}
}

// watch answers as soon as there is a change, when the wait is over, or when
// the store goes down.
func (s *Store) watch(r *http.Request) answer {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return refuse(http.StatusBadRequest, "after is not a revision")
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		return refuse(http.StatusBadRequest, "wait is not a duration")
	}
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	for {
		listing, changed := s.space.since(query.Get("prefix"), after)
		if len(listing.Entries) > 0 || listing.Compact {
			return found(listing)
		}
		select {
		case <-changed:
			if s.isDown() {
				return refuse(http.StatusServiceUnavailable, "the service is down")
			}
		case <-timer.C:
			return found(listing)
		case <-r.Context().Done():
			return refuse(http.StatusServiceUnavailable, "the caller left")
		}
	}
}

func (s *Store) grant(r *http.Request) answer {
	var lease store.Lease
	if err := json.NewDecoder(r.Body).Decode(&lease); err != nil {
		return refuse(http.StatusBadRequest, err.Error())
	}
	if lease.TTL <= 0 {
		return refuse(http.StatusBadRequest, "a lease needs a time to live")
	}
	return found(s.space.grant(lease.TTL))
}

func (s *Store) keep(r *http.Request) answer { return leaseAnswer(r, s.space.keep) }

func (s *Store) revoke(r *http.Request) answer { return leaseAnswer(r, s.space.revoke) }

func leaseAnswer(r *http.Request, act func(id uint64) bool) answer {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		return refuse(http.StatusBadRequest, "not a lease")
	}
	if !act(id) {
		return refuse(http.StatusNotFound, "no such lease")
	}
	return found(struct{}{})
}
