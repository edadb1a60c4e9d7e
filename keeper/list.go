package keeper

import (
	"context"
	"sync"
	"time"

	"clementinehead.example/chead/store"
)

// list is the platform's list of instances, read for all fabric domains that
// this daemon keeps.
type list struct {
	store *store.Client
	mu    sync.Mutex
	asked time.Time
	rows  []store.Instance
	at    time.Time // when the rows were read, zero before the first time
}

// read returns the list and when it was read. It asks the platform where the
// last time is longer ago than maximum and nobody else is asking.
func (l *list) read(ctx context.Context, maximum time.Duration) ([]store.Instance, time.Time) {
	if l.due(maximum) {
		l.fetch(ctx)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rows, l.at
}

func (l *list) due(maximum time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.asked) < maximum {
		return false
	}
	l.asked = time.Now()
	return true
}

func (l *list) fetch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := l.store.Instances(ctx)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rows, l.at = rows, time.Now()
}
