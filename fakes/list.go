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

// list is the platform's list of instances. What it shows lags behind what it
// was told.
type list struct {
	mu     sync.Mutex
	lag    time.Duration
	expire time.Duration // after the last registration, 0 for never
	rows   map[string]row
	shown  delayed[[]store.Instance]
}

// row is an instance with when it was last registered; zero for one that does
// not expire.
type row struct {
	instance store.Instance
	at       time.Time
}

func newList() *list { return &list{rows: map[string]row{}} }

// change changes the rows; the change becomes visible after the lag.
func (l *list) change(act func(rows map[string]row)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	act(l.rows)
	l.publish()
}

// publish is called with the lock held.
func (l *list) publish() {
	var instances []store.Instance
	for _, row := range l.rows {
		instances = append(instances, row.instance)
	}
	slices.SortFunc(instances, func(a, b store.Instance) int { return strings.Compare(a.ID, b.ID) })
	l.shown.set(instances, l.lag)
}

// renew notes a registration, which changes the list only where it differs.
func (l *list) renew(instance store.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, known := l.rows[instance.ID]
	l.rows[instance.ID] = row{instance: instance, at: time.Now()}
	if !known || before.instance != instance {
		l.publish()
	}
}

// drop removes what has expired. It is called with the lock held.
func (l *list) drop() {
	stale := func(_ string, r row) bool {
		return l.expire > 0 && !r.at.IsZero() && time.Since(r.at) > l.expire
	}
	before := len(l.rows)
	maps.DeleteFunc(l.rows, stale)
	if len(l.rows) < before {
		l.publish()
	}
}

func (l *list) show() []store.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop()
	return l.shown.get()
}

// SetInstances sets the platform's list; it shows after the lag.
func (s *Store) SetInstances(instances ...store.Instance) {
	s.list.change(func(rows map[string]row) {
		clear(rows)
		for _, instance := range instances {
			rows[instance.ID] = row{instance: instance}
		}
	})
}

// SetLag sets how far the list of instances lags behind, and how long after
// its last registration an instance drops out of it, 0 for never.
func (s *Store) SetLag(lag, expire time.Duration) {
	s.list.mu.Lock()
	defer s.list.mu.Unlock()
	s.list.lag, s.list.expire = lag, expire
}

func (s *Store) instances(r *http.Request) answer {
	shown := s.list.show()
	if shown == nil {
		shown = []store.Instance{}
	}
	tag := tagOf(shown)
	if r.Header.Get("If-None-Match") == tag {
		return answer{status: http.StatusNotModified, tag: tag}
	}
	return answer{status: http.StatusOK, value: shown, tag: tag}
}

// tagOf returns an entity tag, which is another one for another list.
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
	s.list.renew(instance)
	found(struct{}{}).write(w)
}

func (s *Store) deregister(w http.ResponseWriter, r *http.Request) {
	s.list.change(func(rows map[string]row) { delete(rows, r.PathValue("id")) })
	found(struct{}{}).write(w)
}
