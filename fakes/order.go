package fakes

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"

	"clementinehead.example/chead/engine"
)

// take obeys an order, or refuses it for its old fencing number.
func (l *life) take(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		notRun(w, http.StatusBadRequest, err.Error())
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.abortIfOver()
	if order.Fence < l.order.Fence && !l.engine.options.Ignore {
		notRun(w, http.StatusConflict, "a newer fencing number holds")
		return
	}
	l.obey(order)
	writeJSON(w, l.now())
}

// abortIfOver breaks the connection when the life has ended. No task begins
// after that, so that Close can wait for those that did. It is called with the
// lock held.
func (l *life) abortIfOver() {
	if l.ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// obey follows an order; one that holds already changes nothing. It is called
// with the lock held.
func (l *life) obey(order engine.Order) {
	before := l.order
	if order.Fence == before.Fence && sameWork(before, order) {
		return
	}
	l.order = order
	if !sameWork(before, order) {
		l.drop()
	}
	if !sameWeights(before, order) {
		l.reload(order)
	}
	l.reobserve(order)
}

// sameWork reports whether two orders differ in the fencing number alone.
func sameWork(a, b engine.Order) bool {
	return a.Replica == b.Replica && a.Rank == b.Rank && sameWeights(a, b) && slices.Equal(a.Members, b.Members)
}

func sameWeights(a, b engine.Order) bool {
	return a.Model == b.Model && a.Adapter == b.Adapter && a.Version == b.Version
}

// reload begins to load the weights of an order. It is called with the lock
// held.
func (l *life) reload(order engine.Order) {
	l.stopLoad()
	l.loaded = false
	if order.Model == "" {
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	l.stopLoad = cancel
	l.engine.tasks.Go(func() { l.fetch(ctx, order) })
}

// fetch loads weights and notes when they are there.
func (l *life) fetch(ctx context.Context, order engine.Order) {
	load := l.engine.options.Load
	if load != nil && load(ctx, order) != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if ctx.Err() == nil {
		l.loaded = true
	}
}

// state is called with the lock held.
func (l *life) state() engine.State {
	switch {
	case l.order.Replica == "":
		return engine.Idle
	case !l.loaded:
		return engine.Loading
	default:
		return engine.Ready
	}
}

// notRun refuses a request with the word that it was not run.
func notRun(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(engine.HeaderRan, "no")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	http.Error(w, reason, status)
}
