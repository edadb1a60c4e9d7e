package simul

import (
	"net/http"
	"sync/atomic"
)

// Door is a store's interface for some of its callers, which the store may refuse while it
// serves the others. Use Store.Door to create one.
type Door struct {
	store *Store
	away  atomic.Bool
}

// Door returns an interface of the store that serves until SetAway.
func (s *Store) Door() *Door { return &Door{store: s} }

// SetAway makes the store refuse all calls at this door, or serve them again. A call that
// waits for a change is answered by the next one.
func (d *Door) SetAway(away bool) { d.away.Store(away) }

// ServeHTTP handles the calls of the store's interface.
func (d *Door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.away.Load() {
		refuse(w)
		return
	}
	d.store.ServeHTTP(w, r)
}
