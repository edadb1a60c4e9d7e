package keeper

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/store"
)

// blackouts is the number of Policy.Blackout after which a keeper that finds
// its fabric domain dark gives it up.
const blackouts = 2

// tenure is this daemon's work as the keeper of one fabric domain.
type tenure struct {
	k       *Keeper
	fabric  string
	cancel  context.CancelFunc
	began   time.Time
	rivals  bool      // another keeper has written since this one did
	dark    time.Time // since when almost all instances are silent, zero if not
	seen    map[string]fleet.Seen
	forgot  map[string]bool // instances that the platform has dropped
	known   bool            // value and revision are the newest that were read
	value   fleet.Fabric
	written uint64 // revision of value
	pending *fleet.Result
	before  fleet.Fabric // the value that pending was to replace
	mu      sync.Mutex   // guards status
	status  Status
}

func newTenure(k *Keeper, fabric string, cancel context.CancelFunc) *tenure {
	return &tenure{
		k:      k,
		fabric: fabric,
		cancel: cancel,
		began:  time.Now(),
		seen:   map[string]fleet.Seen{},
		forgot: map[string]bool{},
		status: Status{Fabric: fabric},
	}
}

// run works until the context ends or the fabric domain stays dark.
func (t *tenure) run(ctx context.Context) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		t.round(ctx)
		if t.replaced(ctx) {
			t.k.o.Log.Info("another daemon keeps fabric domain", "fabric", t.fabric)
			return
		}
		if t.blackout() {
			t.k.o.Log.Info("gives up dark fabric domain", "fabric", t.fabric)
			t.k.resign(ctx, t.fabric)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// replaced reports whether another daemon has become keeper. It looks once
// after each value of another keeper.
func (t *tenure) replaced(ctx context.Context) bool {
	rivals := t.rivals
	t.rivals = false
	return rivals && !t.k.holds(ctx, t.fabric)
}

func (t *tenure) blackout() bool {
	return !t.dark.IsZero() && time.Since(t.dark) >= blackouts*t.k.o.Policy.Blackout
}

// round observes, decides, writes and then orders.
func (t *tenure) round(ctx context.Context) {
	err := t.refresh(ctx)
	if t.written > 0 {
		t.observe(ctx)
	}
	if err != nil {
		t.k.meter.failed(err)
		return
	}
	result := t.decide()
	if err := t.write(ctx, result); err != nil {
		t.k.meter.failed(err)
		return
	}
	t.order(ctx)
	t.account(result)
}

// refresh reads the fabric domain's value anew where it isn't known, or where
// another keeper has written.
func (t *tenure) refresh(ctx context.Context) error {
	picture := t.k.o.View().Fabrics[t.fabric]
	if t.known && !picture.At.After(t.value.At) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := t.k.o.Store.Get(ctx, fleet.Key(t.fabric))
	if err != nil {
		return &Error{Op: "read", Kind: Read, Name: t.fabric, Err: err}
	}
	var value fleet.Fabric
	if err := json.Unmarshal(entry.Value, &value); err != nil {
		return &Error{Op: "read", Kind: Read, Name: t.fabric, Err: err}
	}
	t.settle(value, entry)
	return nil
}

// settle takes a value that was read. If it is the one whose write was not
// answered, that write was done.
func (t *tenure) settle(value fleet.Fabric, entry store.Entry) {
	t.known = true
	t.rivals = t.value.Keeper == t.k.o.Self && value.Keeper != t.k.o.Self
	t.value = value
	t.written = entry.Revision
	pending := t.pending
	t.pending = nil
	if pending != nil && same(pending.Fabric, value) {
		t.report(t.before, *pending, entry)
	}
	t.k.o.Learn(entry)
}

// same reports whether two values come from one write: no keeper writes twice
// at one time.
func same(x, y fleet.Fabric) bool {
	return x.Keeper == y.Keeper && x.Fence == y.Fence && x.At.Equal(y.At)
}

// decide works out the next value.
func (t *tenure) decide() fleet.Result {
	current := t.k.o.View()
	others := map[string]fleet.Fabric{}
	for name, fabric := range current.Fabrics {
		if name != t.fabric {
			others[name] = fabric
		}
	}
	result := fleet.Step(fleet.Input{
		Self:     t.k.o.Self,
		Fabric:   t.value,
		Others:   others,
		Seen:     t.seen,
		Document: current.Document,
		Daemons:  t.k.daemons(),
		Policy:   t.k.o.Policy,
		Now:      time.Now(),
	})
	t.noteDark(result.Dark)
	return result
}

func (t *tenure) noteDark(dark bool) {
	switch {
	case !dark:
		t.dark = time.Time{}
	case t.dark.IsZero():
		t.dark = time.Now()
	}
}

// write writes a decided value, if it differs. An error means that nothing may
// be ordered in this round.
func (t *tenure) write(ctx context.Context, result fleet.Result) error {
	if !t.k.lease.valid() {
		return &Error{Op: "write", Kind: Lapsed, Name: t.fabric}
	}
	if len(result.Causes) == 0 {
		return nil
	}
	if err := fleet.Check(result.Fabric); err != nil {
		return &Error{Op: "write", Kind: Faulty, Name: t.fabric, Err: err}
	}
	value, err := json.Marshal(result.Fabric)
	if err != nil {
		return &Error{Op: "write", Kind: Faulty, Name: t.fabric, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	put := store.Put{Key: fleet.Key(t.fabric), Value: value, Prev: t.written}
	revision, err := t.k.o.Store.Put(ctx, put)
	if err != nil {
		return t.unwritten(result, err)
	}
	entry := store.Entry{Key: put.Key, Value: value, Revision: revision}
	t.report(t.value, result, entry)
	t.value = result.Fabric
	t.written = revision
	t.k.o.Learn(entry)
	return nil
}

// unwritten notes what is to be settled after a failed write: the value is
// read again before anything else is done.
func (t *tenure) unwritten(result fleet.Result, err error) error {
	kind := Write
	switch kindOf(err) {
	case store.Lost:
		kind = Unsettled
		t.pending, t.before = &result, t.value
		t.known = false
	case store.Conflict, store.NotFound:
		t.known = false
	}
	return &Error{Op: "write", Kind: kind, Name: t.fabric, Err: err}
}

// account notes the round in the counters and in the status.
func (t *tenure) account(result fleet.Result) {
	now := time.Now()
	lines := t.k.meter.round(t.value, result, t.seen, t.k.o.View(), now)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.status = statusOf(t, result, lines, now)
}
