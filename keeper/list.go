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

// read returns the list, no older than maximum if the platform answers, and
// when it was read.
func (l *list) read(ctx context.Context, maximum time.Duration) ([]store.Instance, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.asked) < maximum {
		return l.rows, l.at
	}
	l.asked = time.Now()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := l.store.Instances(ctx)
	if err == nil {
		l.rows, l.at = rows, time.Now()
	}
	return l.rows, l.at
}
