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
func (d *Daemon) settle(ctx context.Context) error {
	lacking := time.Duration(0) // for how long the store has lacked it
	for clock.Beat(ctx, settleInterval) {
		held := d.watcher.Snapshot()
		if !d.maySettle(held) {
			lacking = 0
			continue
		}
		lacking += settleInterval
		if lacking < settleYield && d.precededToSettle() {
			continue
		}
		if err := d.writeSettled(ctx, held); err != nil {
			d.options.Log.Info("settled configuration not recorded", "era", held.Era, "version", held.Config.Version, "error", err.Error())
		}
	}
	return nil
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
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(watch.Settled{Era: held.Era, Version: held.Config.Version})
	if err != nil {
		return &Error{Op: "encode settled configuration", Kind: Part, Err: err}
	}
	_, err = d.store.Commit(ctx, platform.Txn{
		Era:    held.Era,
		Expect: []platform.Condition{{Key: platform.SettledKey, Revision: held.Settled.Revision}},
		Puts:   []platform.Put{{Key: platform.SettledKey, Value: value}},
	})
	if platform.Is(err, platform.Conflict) {
		return nil
	}
	return err
}
