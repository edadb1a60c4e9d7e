package keeper

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/store"
)

// unreachableFactor times Policy.UnreachableGrace is how long a fabric domain is unreachable
// before its keeper gives it up.
const unreachableFactor = 2

// term is the time in which this daemon is the keeper of one fabric domain, with the
// state of its work.
type term struct {
	keeper           *Keeper
	fabric           string // name of the fabric domain
	cancel           context.CancelFunc
	began            time.Time
	overwritten      bool                            // another keeper has written over this daemon's value
	unreachableSince time.Time                       // zero if the fabric domain is reachable
	instances        map[string]fleet.InstanceStatus // by ID
	delisted         map[string]bool                 // forgotten instances that the platform no longer lists
	valueFresh       bool                            // false if value has to be read again
	value            fleet.Fabric
	revision         uint64        // of value, 0 before the first read
	pending          *fleet.Result // result whose write got no answer, nil if none
	pendingBase      fleet.Fabric  // the value that pending was to replace
	mu               sync.Mutex    // guards status
	status           Status
}

func newTerm(k *Keeper, fabric string, cancel context.CancelFunc) *term {
	return &term{
		keeper:    k,
		fabric:    fabric,
		cancel:    cancel,
		began:     time.Now(),
		instances: map[string]fleet.InstanceStatus{},
		delisted:  map[string]bool{},
		status:    Status{Fabric: fabric},
	}
}

// run makes rounds until ctx ends, another daemon becomes keeper, or the fabric
// domain has been unreachable for too long.
func (t *term) run(ctx context.Context) {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		t.round(ctx)
		if t.replaced(ctx) {
			t.keeper.options.Log.Info("another daemon keeps fabric domain", "fabric", t.fabric)
			return
		}
		if t.unreachableTooLong() {
			t.keeper.options.Log.Info("gives up dark fabric domain", "fabric", t.fabric)
			t.keeper.resign(ctx, t.fabric)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// replaced reports whether another daemon has become keeper. It checks the keeper's
// key once after each value that another keeper wrote over this one's.
func (t *term) replaced(ctx context.Context) bool {
	overwritten := t.overwritten
	t.overwritten = false
	return overwritten && !t.keeper.holdsKey(ctx, t.fabric)
}

// unreachableTooLong reports whether the keeper has to give up the fabric domain.
func (t *term) unreachableTooLong() bool {
	return !t.unreachableSince.IsZero() && time.Since(t.unreachableSince) >= unreachableFactor*t.keeper.options.Policy.UnreachableGrace
}

// round makes one round: it observes, decides, writes and then sends orders. If
// the value can't be read or written, nothing is ordered.
func (t *term) round(ctx context.Context) {
	err := t.refresh(ctx)
	if t.revision > 0 {
		t.observe(ctx)
	}
	if err != nil {
		t.keeper.metrics.countFailure(err)
		return
	}
	result := t.decide()
	if err := t.write(ctx, result); err != nil {
		t.keeper.metrics.countFailure(err)
		return
	}
	t.sendOrders(ctx)
	t.finishRound(result)
}

// refresh reads the fabric domain's value again if the present one may be outdated
// or another keeper has written a later one.
func (t *term) refresh(ctx context.Context) error {
	snapshot := t.keeper.options.View().Fabrics[t.fabric]
	if t.valueFresh && !snapshot.At.After(t.value.At) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := t.keeper.options.Store.Get(ctx, fleet.Key(t.fabric))
	if err != nil {
		return &Error{Op: "read", Kind: Read, Name: t.fabric, Err: err}
	}
	var value fleet.Fabric
	if err := json.Unmarshal(entry.Value, &value); err != nil {
		return &Error{Op: "read", Kind: Read, Name: t.fabric, Err: err}
	}
	t.adopt(value, entry)
	return nil
}

// adopt takes over a value that was read. If it is the pending one, whose write got
// no answer, that write was done, and its decisions are now audited.
func (t *term) adopt(value fleet.Fabric, entry store.Entry) {
	t.valueFresh = true
	t.overwritten = t.value.Keeper == t.keeper.options.Self && value.Keeper != t.keeper.options.Self
	t.value = value
	t.revision = entry.Revision
	pending := t.pending
	t.pending = nil
	if pending != nil && sameWrite(pending.Fabric, value) {
		t.audit(t.pendingBase, *pending, entry)
	}
	t.keeper.options.Apply(entry)
}

// sameWrite reports whether two values come from one write. Keeper, fencing token
// and time identify a write, since no keeper writes twice at the same time.
func sameWrite(x, y fleet.Fabric) bool {
	return x.Keeper == y.Keeper && x.Fence == y.Fence && x.At.Equal(y.At)
}

// decide returns the next value and the decisions that lead to it.
func (t *term) decide() fleet.Result {
	current := t.keeper.options.View()
	others := map[string]fleet.Fabric{}
	for name, fabric := range current.Fabrics {
		if name != t.fabric {
			others[name] = fabric
		}
	}
	result := fleet.Step(fleet.Input{
		Self:      t.keeper.options.Self,
		Fabric:    t.value,
		Others:    others,
		Instances: t.instances,
		Document:  current.Document,
		Daemons:   t.keeper.daemons(),
		Policy:    t.keeper.options.Policy,
		Now:       time.Now(),
	})
	t.setUnreachable(result.Unreachable)
	return result
}

// setUnreachable records whether the fabric domain is unreachable, and since when.
func (t *term) setUnreachable(unreachable bool) {
	switch {
	case !unreachable:
		t.unreachableSince = time.Time{}
	case t.unreachableSince.IsZero():
		t.unreachableSince = time.Now()
	}
}

// write writes a decided value if any decision was taken. After an error, no order
// may be sent in this round.
func (t *term) write(ctx context.Context, result fleet.Result) error {
	if !t.keeper.lease.valid() {
		return &Error{Op: "write", Kind: Lapsed, Name: t.fabric}
	}
	if len(result.Causes) == 0 {
		return nil
	}
	if err := fleet.Check(result.Fabric); err != nil {
		return &Error{Op: "write", Kind: InvalidValue, Name: t.fabric, Err: err}
	}
	value, err := json.Marshal(result.Fabric)
	if err != nil {
		return &Error{Op: "write", Kind: InvalidValue, Name: t.fabric, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	put := store.Put{Key: fleet.Key(t.fabric), Value: value, Prev: t.revision}
	revision, err := t.keeper.options.Store.Put(ctx, put)
	if err != nil {
		return t.handleWriteError(result, err)
	}
	entry := store.Entry{Key: put.Key, Value: value, Revision: revision}
	t.audit(t.value, result, entry)
	t.value = result.Fabric
	t.revision = revision
	t.keeper.options.Apply(entry)
	return nil
}

// handleWriteError returns the error of a failed write. If the outcome is unknown or
// the key has changed, the value is read again before the next decision; in the
// first case the result is kept as pending.
func (t *term) handleWriteError(result fleet.Result, err error) error {
	kind := Write
	switch kindOf(err) {
	case store.Lost:
		kind = Unsettled
		t.pending, t.pendingBase = &result, t.value
		t.valueFresh = false
	case store.Conflict, store.NotFound:
		t.valueFresh = false
	}
	return &Error{Op: "write", Kind: kind, Name: t.fabric, Err: err}
}

// finishRound updates the metrics and the status after a round.
func (t *term) finishRound(result fleet.Result) {
	now := time.Now()
	outages := t.keeper.metrics.countRound(t.value, result, t.instances, t.keeper.options.View(), now)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.status = statusOf(t, result, outages, now)
}
