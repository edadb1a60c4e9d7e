package keeper

import (
	"context"
	"errors"
	"sync"
	"time"

	"clementinehead.example/chead/store"
)

const (
	leaseLife   = 9 * time.Second // unless renewed
	leaseRenew  = 3 * time.Second // between renewals
	leaseMargin = time.Second     // before its end, in which it counts as lapsed
)

// renewal is the outcome of renewing a lease.
type renewal int

const (
	unchanged renewal = iota
	renewed
	lapsed // the service doesn't know it any more
)

// lease is the daemon's lease of the key-value service, which all its keeper
// keys hang on. It is granted when it is first needed.
type lease struct {
	store *store.Client
	mu    sync.Mutex
	id    uint64
	sent  time.Time // when the last call was sent that was answered well
	asked time.Time // when it was last tried
}

// valid reports whether the lease can't have lapsed yet.
func (l *lease) valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id != 0 && time.Since(l.sent) < leaseLife-leaseMargin
}

// renew keeps a lease alive that is in use, when that is due.
func (l *lease) renew(ctx context.Context, used bool) renewal {
	if !used && !l.valid() {
		l.set(0, time.Time{})
	}
	l.mu.Lock()
	id, due := l.id, time.Since(l.asked) >= leaseRenew
	l.mu.Unlock()
	if id == 0 || !used || !due {
		return unchanged
	}
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := l.store.Keep(ctx, id)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked = sent
	switch {
	case err == nil:
		l.sent = sent
		return renewed
	case kindOf(err) == store.NotFound:
		l.id = 0
		return lapsed
	default:
		return unchanged
	}
}

// need returns a lease that is valid, a new one if there is none. It fails
// while it isn't known whether the present one has lapsed.
func (l *lease) need(ctx context.Context) (uint64, error) {
	if l.valid() {
		return l.number(), nil
	}
	if l.number() != 0 {
		return 0, &Error{Op: "renew", Kind: Lapsed, Name: "lease"}
	}
	sent := time.Now()
	granted, err := l.store.Grant(ctx, leaseLife)
	if err != nil {
		return 0, err
	}
	l.set(granted.ID, sent)
	return granted.ID, nil
}

func (l *lease) set(id uint64, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id, l.sent, l.asked = id, sent, sent
}

func (l *lease) number() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id
}

// release ends the lease, and with it the keys that hang on it.
func (l *lease) release(ctx context.Context) {
	id := l.number()
	if id == 0 {
		return
	}
	// An answer that is lost costs the others no more than the lease's life.
	_ = l.store.Revoke(ctx, id)
	l.set(0, time.Time{})
}

// kindOf returns the kind of an error of the key-value service; Lost stands
// for errors of another origin.
func kindOf(err error) store.Kind {
	var fault *store.Error
	if errors.As(err, &fault) {
		return fault.Kind
	}
	return store.Lost
}
