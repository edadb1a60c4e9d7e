package fakes

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"clementinehead.example/chead/store"
)

// list is the platform's list of instances. Its visible state lags behind the
// registrations.
type list struct {
	mu     sync.Mutex
	lag    time.Duration
	expire time.Duration // from the last registration of an instance to its removal; 0 for never
	rows   map[string]row
	shown  delayed[[]store.Instance]
}

// row is an instance with the time of its last registration, which is zero for
// an instance that does not expire.
type row struct {
	instance store.Instance
	at       time.Time
}

func newList() *list { return &list{rows: map[string]row{}} }

// change updates the rows. The change becomes visible after the lag.
func (l *list) change(update func(rows map[string]row)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	update(l.rows)
	l.publish()
}

// publish makes the present rows visible after the lag. It must be called with
// the lock held.
func (l *list) publish() {
	var instances []store.Instance
	for _, row := range l.rows {
		instances = append(instances, row.instance)
	}
	slices.SortFunc(instances, func(a, b store.Instance) int { return strings.Compare(a.ID, b.ID) })
	l.shown.set(instances, l.lag)
}

// recordRegistration records a registration and publishes the list if the
// instance is new or differs.
func (l *list) recordRegistration(instance store.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, known := l.rows[instance.ID]
	l.rows[instance.ID] = row{instance: instance, at: time.Now()}
	if !known || before.instance != instance {
		l.publish()
	}
}

// removeExpired removes the expired instances. It must be called with the lock
// held.
func (l *list) removeExpired() {
	stale := func(_ string, r row) bool {
		return l.expire > 0 && !r.at.IsZero() && time.Since(r.at) > l.expire
	}
	before := len(l.rows)
	maps.DeleteFunc(l.rows, stale)
	if len(l.rows) < before {
		l.publish()
	}
}

// visible returns the list that callers see now.
func (l *list) visible() []store.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeExpired()
	return l.shown.get()
}

// SetInstances replaces the platform's list. The change becomes visible after
// the lag.
func (s *Store) SetInstances(instances ...store.Instance) {
	s.list.change(func(rows map[string]row) {
		clear(rows)
		for _, instance := range instances {
			rows[instance.ID] = row{instance: instance}
		}
	})
}

// SetLag sets the lag of the list of instances, and how long after its last
// registration an instance is removed, 0 for never.
func (s *Store) SetLag(lag, expire time.Duration) {
	s.list.mu.Lock()
	defer s.list.mu.Unlock()
	s.list.lag, s.list.expire = lag, expire
}

func (s *Store) instances(r *http.Request) answer {
	shown := s.list.visible()
	if shown == nil {
		shown = []store.Instance{}
	}
	tag := tagOf(shown)
	if r.Header.Get("If-None-Match") == tag {
		return answer{status: http.StatusNotModified, tag: tag}
	}
	return answer{status: http.StatusOK, value: shown, tag: tag}
}

// tagOf returns an entity tag, derived from the hash of the list.
func tagOf(instances []store.Instance) string {
	// A list of plain structs can always be encoded.
	data, _ := json.Marshal(instances)
	return strconv.Quote(strconv.FormatUint(xxhash.Sum64(data), 16))
}

func (s *Store) register(w http.ResponseWriter, r *http.Request) {
	var instance store.Instance
	if err := json.NewDecoder(r.Body).Decode(&instance); err != nil {
		refuse(http.StatusBadRequest, err.Error()).write(w)
		return
	}
	instance.ID = r.PathValue("id")
	s.list.recordRegistration(instance)
	success(struct{}{}).write(w)
}

func (s *Store) deregister(w http.ResponseWriter, r *http.Request) {
	s.list.change(func(rows map[string]row) { delete(rows, r.PathValue("id")) })
	success(struct{}{}).write(w)
}
