package edge

import (
	"context"
	"encoding/json"
	"time"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/watch"
)

const (
	settleInterval = 200 * time.Millisecond // between two looks whether the store lacks the settled version
	settleYield    = time.Second            // for which a daemon leaves it to one that precedes it
)

// settle writes the version that is shown to be the newest to the store, once in each era
// that isn't the first, until the context ends. Daemons that start learn it from there, though
// they may hear none of the others. In a store that no daemon has used it comes before any
// daemon serves, so that a copy of the store without it is older than all that was in force.
// It also writes, once, that the configuration has had client accounts.
func (d *Daemon) settle(ctx context.Context) error {
	var settled, accounts turn
	for clock.Beat(ctx, settleInterval) {
		held := d.watcher.Snapshot()
		if settled.isDue(d.maySettle(held), d.precededToSettle) {
			d.noteRecord(platform.SettledKey, held, d.writeSettled(ctx, held))
		}
		if accounts.isDue(d.mayRecordAccounts(held), d.precededToSettle) {
			d.noteRecord(platform.AccountsKey, held, d.writeAccounts(ctx, held))
		}
	}
	return nil
}

// turn tells when it is this daemon's turn to write a record that all daemons may write. It
// is called every settleInterval.
type turn struct {
	lacking time.Duration // for how long the store has lacked the record
}

// isDue reports whether this daemon is to write now: the record is lacking, and no daemon
// precedes this one or that one has had settleYield.
func (t *turn) isDue(lacks bool, preceded func() bool) bool {
	if !lacks {
		t.lacking = 0
		return false
	}
	t.lacking += settleInterval
	return t.lacking >= settleYield || !preceded()
}

// noteRecord logs that a record couldn't be written.
func (d *Daemon) noteRecord(key string, held *watch.Snapshot, err error) {
	if err != nil {
		d.options.Log.Info("record not written", "key", key, "era", held.Era, "version", held.Config.Version, "error", err.Error())
	}
}

// mayRecordAccounts reports whether the store lacks the record that there have been client
// accounts.
func (d *Daemon) mayRecordAccounts(held *watch.Snapshot) bool {
	return held.HadAccounts > 0 && !held.Recorded && held.Config != nil && d.fresh()
}

// maySettle reports whether the store lacks the settled version of a snapshot's era, and this
// daemon knows it.
func (d *Daemon) maySettle(held *watch.Snapshot) bool {
	if held.Era == 0 || held.Settled.Era == held.Era || held.Config == nil || !d.fresh() {
		return false
	}
	return held.Unused && d.catchUp.unused.Load() || d.catchUp.allows(held, d.gossip.Alive)
}

// precededToSettle reports whether another daemon that may know the settled version precedes
// this one.
func (d *Daemon) precededToSettle() bool {
	unused := d.catchUp.unused.Load()
	for _, m := range d.others().current {
		if (m.Ready || m.Fresh && unused) && m.From.Precedes(d.self) {
			return true
		}
	}
	return false
}

// writeSettled writes the version of a snapshot as the settled one of its era, unless another
// daemon did.
func (d *Daemon) writeSettled(ctx context.Context, held *watch.Snapshot) error {
	return d.putRecord(ctx, held.Era, platform.Condition{Key: platform.SettledKey, Revision: held.Settled.Revision}, watch.Settled{Era: held.Era, Version: held.Config.Version})
}

// writeAccounts writes that there have been client accounts, unless another daemon did.
func (d *Daemon) writeAccounts(ctx context.Context, held *watch.Snapshot) error {
	return d.putRecord(ctx, held.Era, platform.Condition{Key: platform.AccountsKey}, watch.AccountsRecord{Version: held.HadAccounts})
}

// putRecord writes a record unless it has changed since the revision that is expected.
func (d *Daemon) putRecord(ctx context.Context, era int64, expected platform.Condition, record any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(record)
	if err != nil {
		return &Error{Op: "encode " + expected.Key, Kind: Part, Err: err}
	}
	_, err = d.store.Commit(ctx, platform.Txn{
		Era:    era,
		Expect: []platform.Condition{expected},
		Puts:   []platform.Put{{Key: expected.Key, Value: value}},
	})
	if platform.Is(err, platform.Conflict) {
		return nil
	}
	return err
}
