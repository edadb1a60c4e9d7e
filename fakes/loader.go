package fakes

import (
	"context"
	"net/http"
	"sync"
	"time"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/engine"
)

// Loader stands in for the rate-limited weight store that engines share.
// Loads are served one after the other. As an http.Handler it answers when
// the gigabytes of the query's "size" are loaded.
type Loader struct {
	rate float64 // gigabytes a second

	mu   sync.Mutex
	free time.Time // when the loads so far are done
}

// NewLoader returns a loader of so many gigabytes a second, 0 for no limit.
func NewLoader(rate float64) *Loader { return &Loader{rate: rate} }

// Load returns once a number of gigabytes is loaded, or with the context's
// error.
func (l *Loader) Load(ctx context.Context, gigabytes float64) error {
	if !clock.Sleep(ctx, l.reserve(gigabytes)) {
		return ctx.Err()
	}
	return nil
}

// Weights returns a function for EngineOptions.Load that loads so many
// gigabytes for each order.
func (l *Loader) Weights(gigabytes float64) func(context.Context, engine.Order) error {
	return func(ctx context.Context, _ engine.Order) error { return l.Load(ctx, gigabytes) }
}

// reserve returns the time until a load is done that is asked for now.
func (l *Loader) reserve(gigabytes float64) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(gigabytes / l.rate * float64(time.Second)))
	return time.Until(l.free)
}

// ServeHTTP loads.
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
