package fakes

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"

	"clementinehead.example/chead/engine"
)

// handleOrder carries out an order, or refuses it because its fencing number is
// old.
func (p *process) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		refuseUnrun(w, http.StatusBadRequest, err.Error())
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abortIfStopped()
	if order.Fence < p.order.Fence && !p.engine.options.IgnoreFence {
		refuseUnrun(w, http.StatusConflict, "a newer fencing number holds")
		return
	}
	p.apply(order)
	writeJSON(w, p.currentReport())
}

// abortIfStopped breaks the connection if the process has stopped. No task
// starts after that, so that Close can wait for those that did. It must be
// called with the lock held.
func (p *process) abortIfStopped() {
	if p.ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// apply carries out an order. An order that is already in force changes nothing.
// It must be called with the lock held.
func (p *process) apply(order engine.Order) {
	before := p.order
	if order.Fence == before.Fence && sameWork(before, order) {
		return
	}
	p.order = order
	if !sameWork(before, order) {
		p.cancelJobs()
	}
	if !sameWeights(before, order) {
		p.startLoad(order)
	}
	p.startChecks(order)
}

// sameWork reports whether two orders differ at most in the fencing number.
func sameWork(a, b engine.Order) bool {
	return a.Replica == b.Replica && a.Rank == b.Rank && sameWeights(a, b) && slices.Equal(a.Members, b.Members)
}

// sameWeights reports whether two orders need the same weights.
func sameWeights(a, b engine.Order) bool {
	return a.Model == b.Model && a.Adapter == b.Adapter && a.Version == b.Version
}

// startLoad starts to load the weights for an order and cancels the load before
// it. It must be called with the lock held.
func (p *process) startLoad(order engine.Order) {
	p.stopLoad()
	p.loaded = false
	if order.Model == "" {
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	p.stopLoad = cancel
	p.engine.tasks.Go(func() { p.loadWeights(ctx, order) })
}

// loadWeights loads the weights for an order and records when they are loaded.
func (p *process) loadWeights(ctx context.Context, order engine.Order) {
	load := p.engine.options.Load
	if load != nil && load(ctx, order) != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.Err() == nil {
		p.loaded = true
	}
}

// state returns the state in reports. It must be called with the lock held.
func (p *process) state() engine.State {
	switch {
	case p.order.Replica == "":
		return engine.Idle
	case !p.loaded:
		return engine.Loading
	default:
		return engine.Ready
	}
}

// refuseUnrun refuses a request and states that it was not run.
func refuseUnrun(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(engine.HeaderRan, "no")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	http.Error(w, reason, status)
}
