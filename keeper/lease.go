package keeper

import (
	"context"
	"errors"
	"sync"
	"time"

	"clementinehead.example/chead/store"
)

const (
	leaseTTL      = 9 * time.Second // time to live of the lease from its grant or last renewal
	renewInterval = 3 * time.Second // between renewals
	leaseMargin   = time.Second     // time before the lease's end from which it no longer counts as valid
)

// renewal is the outcome of renewing a lease.
type renewal int

const (
	unchanged renewal = iota // no renewal was needed, or its outcome is unknown
	renewed                  // the service renewed the lease
	lapsed                   // the service doesn't know the lease any more
)

// lease is the daemon's lease of the key-value service, to which all its keeper's
// keys are attached. It is granted when it is first needed.
type lease struct {
	store       *store.Client
	mu          sync.Mutex
	id          uint64    // 0 means no lease
	validFrom   time.Time // when the last successful grant or renewal was sent; the TTL counts from then or later
	lastAttempt time.Time // when a grant or renewal was last sent, whatever its outcome
}

// valid reports whether the lease is certain not to have lapsed yet.
func (l *lease) valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id != 0 && time.Since(l.validFrom) < leaseTTL-leaseMargin
}

// renew keeps the lease alive if it is in use and a renewal is due. A lease that
// is not in use and may have lapsed is dropped.
func (l *lease) renew(ctx context.Context, inUse bool) renewal {
	if !inUse && !l.valid() {
		l.set(0, time.Time{})
	}
	l.mu.Lock()
	id, due := l.id, time.Since(l.lastAttempt) >= renewInterval
	l.mu.Unlock()
	if id == 0 || !inUse || !due {
		return unchanged
	}
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := l.store.KeepAlive(ctx, id)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastAttempt = sent
	switch {
	case err == nil:
		l.validFrom = sent
		return renewed
	case kindOf(err) == store.NotFound:
		l.id = 0
		return lapsed
	default:
		return unchanged
	}
}

// ensure returns the ID of a valid lease and requests a new lease if there is
// none. It fails while the present lease may or may not have lapsed.
func (l *lease) ensure(ctx context.Context) (uint64, error) {
	if l.valid() {
		return l.currentID(), nil
	}
	if l.currentID() != 0 {
		return 0, &Error{Op: "renew", Kind: Lapsed, Name: "lease"}
	}
	sent := time.Now()
	grant, err := l.store.Grant(ctx, leaseTTL)
	if err != nil {
		return 0, err
	}
	l.set(grant.ID, sent)
	return grant.ID, nil
}

// set replaces the lease. sent is when its grant was sent.
func (l *lease) set(id uint64, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id, l.validFrom, l.lastAttempt = id, sent, sent
}

// currentID returns the ID of the lease, which may have lapsed, or 0 if there is
// none.
func (l *lease) currentID() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id
}

// release revokes the lease, which also deletes the keys attached to it.
func (l *lease) release(ctx context.Context) {
	id := l.currentID()
	if id == 0 {
		return
	}
	// If the call fails, the keys exist for at most the lease's remaining TTL.
	_ = l.store.Revoke(ctx, id)
	l.set(0, time.Time{})
}

// kindOf returns the kind of an error of the key-value service, and Lost for any
// other error.
func kindOf(err error) store.Kind {
	var storeErr *store.Error
	if errors.As(err, &storeErr) {
		return storeErr.Kind
	}
	return store.Lost
}
