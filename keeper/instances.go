package keeper

import (
	"context"
	"sync"
	"time"

	"clementinehead.example/chead/store"
)

// instanceList caches the platform's list of instances for all fabric domains that
// this daemon keeps.
type instanceList struct {
	store       *store.Client
	mu          sync.Mutex
	lastRequest time.Time // when the list was last requested, whatever the outcome
	rows        []store.Instance
	readAt      time.Time // when rows was read, zero before the first time
}

// read returns the list and when it was read. It requests the list if the last
// request is at least maxAge ago. If the request fails, it returns the previous list.
// Concurrent callers get the previous list meanwhile, since the lock is not held
// during the request.
func (l *instanceList) read(ctx context.Context, maxAge time.Duration) ([]store.Instance, time.Time) {
	if !l.due(maxAge) {
		return l.cached()
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := l.store.Instances(ctx)
	if err == nil {
		l.set(rows)
	}
	return l.cached()
}

// due reports whether the caller has to request the list: whether the last request
// is at least maxAge ago. If so, it records a request.
func (l *instanceList) due(maxAge time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.lastRequest) < maxAge {
		return false
	}
	l.lastRequest = time.Now()
	return true
}

func (l *instanceList) set(rows []store.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rows, l.readAt = rows, time.Now()
}

func (l *instanceList) cached() ([]store.Instance, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rows, l.readAt
}
