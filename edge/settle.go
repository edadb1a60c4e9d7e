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
	settleInterval = 200 * time.Millisecond // between two looks whether the store lacks a record, if its snapshot doesn't change
	settleYield    = time.Second            // for which a daemon leaves a record to each one that precedes it
	keeperYield    = 5 * time.Second        // for which the others leave it to the keeper, or to the next one
)

// settle writes each version that is shown to be the newest to the store, until the context
// ends. Daemons that start learn it from there, though they may hear none of the others, and
// those of a later era which versions were written before the copy was made. In a store that
// no daemon has used it comes before any daemon serves, so that a copy of the store without it
// is older than all that was in force. It also writes, once, that the configuration has had
// client accounts.
func (d *Daemon) settle(ctx context.Context) error {
	settled, accounts := turn{now: clock.Boot, delay: d.recordDelay}, turn{now: clock.Boot, delay: d.recordDelay}
	for ctx.Err() == nil {
		changed := d.watcher.Changed()
		held := d.watcher.Snapshot()
		if settled.isDue(d.maySettle(held), held.ConfigVersion(), held.Settled.Revision) {
			d.noteRecord(platform.SettledKey, held, d.writeSettled(ctx, held))
		}
		if accounts.isDue(d.mayRecordAccounts(held), held.HadAccounts, 0) {
			d.noteRecord(platform.AccountsKey, held, d.writeAccounts(ctx, held))
		}
		awaitChange(ctx, changed, settleInterval)
	}
	return nil
}

// awaitChange waits until a channel is closed, for at most limit.
func awaitChange(ctx context.Context, changed <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// turn tells when it is this daemon's turn to write a record that all daemons may write.
type turn struct {
	now     func() time.Duration // boot clock
	delay   func() time.Duration // for which this daemon leaves it to others
	lacks   bool                 // the store lacked the record at the last look
	seen    int64                // revision of the record then
	since   time.Duration        // boot clock: since when it lacks, and nobody wrote it
	version int64                // that this daemon wrote last
	wroteAt time.Duration        // boot clock: when
}

// isDue reports whether this daemon is to write a version now: the record lacks it, and the
// others have had their time since they last wrote. What this one wrote may not be seen yet.
// The argument revision is that of the record, 0 if there is none.
func (t *turn) isDue(lacks bool, version, revision int64) bool {
	if !lacks {
		t.lacks = false
		return false
	}
	now := t.now()
	if !t.lacks || t.seen != revision {
		t.lacks, t.seen, t.since = true, revision, now
	}
	pause := settleInterval
	if version == t.version {
		pause = settleYield
	}
	if now-t.wroteAt < pause || now-t.since < t.delay() {
		return false
	}
	t.version, t.wroteAt = version, now
	return true
}

// noteRecord logs that a record couldn't be written.
func (d *Daemon) noteRecord(key string, held *watch.Snapshot, err error) {
	if err != nil {
		d.options.Log.Info("record not written", "key", key, "era", held.Era, "version", held.ConfigVersion(), "error", err.Error())
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
	switch {
	case held.Config == nil || !d.fresh():
		return false
	case held.Settled.Version >= held.Config.Version && held.Settled.Era == held.Era:
		return false
	}
	return held.Unused && d.catchUp.unused.Load() || d.catchUp.allows(held, d.gossip.Alive)
}

// recordDelay returns for how long this daemon leaves records to others. The keeper writes
// them, so that in a large fleet one daemon does; the others do if there is none for long, or
// at the first start, which doesn't wait for an election.
func (d *Daemon) recordDelay() time.Duration {
	unused := d.catchUp.unused.Load()
	if !unused && d.keeper.IsKeeper() {
		return 0
	}
	delay := keeperYield
	if unused {
		delay = 0
	}
	for _, m := range d.others().current {
		if (m.Ready || m.Fresh && unused) && m.From.Precedes(d.self) {
			delay += settleYield
		}
	}
	return delay
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
