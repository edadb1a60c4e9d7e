package fakes

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"clementinehead.example/chead/store"
)

// maxWait is the longest time that a watch waits.
const maxWait = 5 * time.Minute

func (s *Store) get(r *http.Request) answer {
	entry, ok := s.keys.get(r.PathValue("key"))
	if !ok {
		return refuse(http.StatusNotFound, "no such key")
	}
	return success(entry)
}

func (s *Store) listKeys(r *http.Request) answer {
	return success(s.keys.list(r.URL.Query().Get("prefix")))
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
	entry, result := s.keys.put(put)
	if result != written {
		return result.refusal()
	}
	return success(store.Entry{Key: entry.Key, Revision: entry.Revision})
}

func (s *Store) remove(r *http.Request) answer {
	prev, err := strconv.ParseUint(r.URL.Query().Get("prev"), 10, 64)
	if err != nil {
		return refuse(http.StatusBadRequest, "prev is not a revision")
	}
	result := s.keys.remove(r.PathValue("key"), prev)
	if result != written {
		return result.refusal()
	}
	return success(struct{}{})
}

// refusal returns the answer to a write that failed.
func (o outcome) refusal() answer {
	switch o {
	case conflict:
		return refuse(http.StatusConflict, "the key is at another revision")
	case unknownKey:
		return refuse(http.StatusNotFound, "no such key")
	default:
		return refuse(http.StatusNotFound, "no such lease")
	}
}

// watch answers as soon as there is a change, when the wait is over, or when the
// store becomes unavailable.
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
	if wait <= 0 {
		// A select on a timer that is due already crashes the race detector in a bubble of
		// synctest.
		listing, _ := s.keys.changesSince(query.Get("prefix"), after)
		return success(listing)
	}
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	for {
		listing, changed := s.keys.changesSince(query.Get("prefix"), after)
		if len(listing.Entries) > 0 || listing.Compacted {
			return success(listing)
		}
		select {
		case <-changed:
			if s.isDown() {
				return refuse(http.StatusServiceUnavailable, "the service is down")
			}
		case <-timer.C:
			return success(listing)
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
	return success(s.keys.grant(lease.TTL))
}

func (s *Store) keep(r *http.Request) answer { return handleLease(r, s.keys.keep) }

func (s *Store) revoke(r *http.Request) answer { return handleLease(r, s.keys.revoke) }

// handleLease applies a change to the lease in the request's path. The change
// reports whether the lease exists.
func handleLease(r *http.Request, change func(id uint64) bool) answer {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		return refuse(http.StatusBadRequest, "not a lease")
	}
	if !change(id) {
		return refuse(http.StatusNotFound, "no such lease")
	}
	return success(struct{}{})
}
