package simul

import (
	"net/http"
	"sync/atomic"
)

// Access is a store's interface for some of its callers, which the store may refuse while it
// serves the others. Use Store.Access to create one.
type Access struct {
	store *Store
	down  atomic.Bool
}

// Access returns an interface of the store that serves until SetDown.
func (s *Store) Access() *Access { return &Access{store: s} }

// SetDown makes the store refuse all calls by this access, or serve them again. A call that
// waits for a change is answered by the next one.
func (a *Access) SetDown(down bool) { a.down.Store(down) }

// ServeHTTP handles the calls of the store's interface.
func (a *Access) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if a.down.Load() {
		refuse(w)
		return
	}
	a.store.ServeHTTP(w, r)
}
