package fakes

import (
	"context"
	"net/http"
	"sync"
	"time"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/engine"
)

// Loader is a stand-in for the rate-limited store of weights that engines share.
// It serves loads one after the other. As an http.Handler it answers when the
// gigabytes in the query's "size" are loaded.
type Loader struct {
	rate float64 // gigabytes a second

	mu        sync.Mutex
	busyUntil time.Time // when the loads requested so far are done
}

// NewLoader returns a loader with a rate in gigabytes per second, 0 for no
// limit.
func NewLoader(rate float64) *Loader { return &Loader{rate: rate} }

// Load returns when a number of gigabytes is loaded, or with the context's
// error.
func (l *Loader) Load(ctx context.Context, gigabytes float64) error {
	if !clock.Sleep(ctx, l.reserve(gigabytes)) {
		return ctx.Err()
	}
	return nil
}

// Weights returns a function for EngineOptions.Load that loads a number of
// gigabytes for each order.
func (l *Loader) Weights(gigabytes float64) func(context.Context, engine.Order) error {
	return func(ctx context.Context, _ engine.Order) error { return l.Load(ctx, gigabytes) }
}

// reserve schedules a load and returns the time until it is done.
func (l *Loader) reserve(gigabytes float64) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(gigabytes / l.rate * float64(time.Second)))
	return time.Until(l.busyUntil)
}

// ServeHTTP loads the gigabytes in the query's "size".
func (l *Loader) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	size, err := parseFloat(r.URL.Query().Get("size"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if l.Load(r.Context(), size) != nil {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, struct{}{})
}
