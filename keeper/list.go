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
// when it was read. While one caller asks the platform, the others get what was
// known before: the lock is not held over the call.
func (l *list) read(ctx context.Context, maximum time.Duration) ([]store.Instance, time.Time) {
	if !l.due(maximum) {
		return l.known()
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := l.store.Instances(ctx)
	if err == nil {
		l.keep(rows)
	}
	return l.known()
}

// due reports whether the caller has to ask the platform.
func (l *list) due(maximum time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.asked) < maximum {
		return false
	}
	l.asked = time.Now()
	return true
}

func (l *list) keep(rows []store.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rows, l.at = rows, time.Now()
}

func (l *list) known() ([]store.Instance, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rows, l.at
}
