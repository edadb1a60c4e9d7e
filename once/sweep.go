package once

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"clementinehead.example/chead/store"
)

// Shards is the number of parts into which the records are divided, so that the
// deletion of old ones can be spread over daemons and time.
const Shards = 256

// sweepsPerWindow is how often each shard is swept in a window, which means that
// its old records are deleted.
const sweepsPerWindow = 4

// retentionWindows is the number of windows for which a record is kept.
const retentionWindows = 2

// Run records dropped claims in the store and deletes old records, shard after
// shard, until the context ends. It costs the fleet sweepsPerWindow*Shards listings
// per window and one deletion per record.
func (l *Ledger) Run(ctx context.Context) error {
	for shard := 0; ; shard = (shard + 1) % Shards {
		pause := time.NewTimer(l.options.Window() / (sweepsPerWindow * Shards))
		select {
		case <-ctx.Done():
			pause.Stop()
			return ctx.Err()
		case <-pause.C:
		}
		l.reportDropped(ctx)
		if l.options.OwnsShard != nil && l.options.OwnsShard(shard) {
			_, _ = l.Sweep(ctx, shard) // remaining records are found by the next sweep
		}
	}
}

// Sweep deletes the records of a shard that are older than twice the window
// and returns how many it deleted.
func (l *Ledger) Sweep(ctx context.Context, shard int) (int, error) {
	listing, err := l.options.Store.List(ctx, fmt.Sprintf("%s%02x/", Prefix, shard))
	if err != nil {
		return 0, newError("sweep", Down, err)
	}
	deleted := 0
	for _, entry := range listing.Entries {
		if !l.old(entry) {
			continue
		}
		if err := l.options.Store.Delete(ctx, entry.Key, entry.Revision); err != nil {
			return deleted, newError("sweep", Down, err)
		}
		deleted++
	}
	return deleted, nil
}

func (l *Ledger) old(entry store.Entry) bool {
	var record Record
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return false
	}
	return time.Since(record.At) > retentionWindows*l.options.Window()+maxSkew
}

// reportDropped writes the dropped claims to the store as not run.
func (l *Ledger) reportDropped(ctx context.Context) {
	for nonce, d := range l.copyDropped() {
		if l.reportOne(ctx, nonce, d) {
			l.mu.Lock()
			delete(l.dropped, nonce)
			l.mu.Unlock()
		}
	}
}

func (l *Ledger) copyDropped() map[string]droppedClaim {
	l.mu.Lock()
	defer l.mu.Unlock()
	dropped := make(map[string]droppedClaim, len(l.dropped))
	for nonce, d := range l.dropped {
		dropped[nonce] = d
	}
	return dropped
}

// reportOne writes a dropped claim to the store as not run and returns whether it
// needs no further attempt. The write of the claim itself may still be in flight,
// so a claim that is not in the store is looked up again until maxRun has passed.
func (l *Ledger) reportOne(ctx context.Context, nonce string, d droppedClaim) bool {
	record, revision, err := l.read(ctx, d.key)
	if err != nil {
		return isKind(err, store.NotFound) && time.Since(d.at) > maxRun
	}
	if record.Nonce != nonce || record.State != Claimed {
		return time.Since(d.at) > maxRun
	}
	record.State = NotRun
	_, err = l.write(ctx, d.key, record, revision)
	return err == nil
}
