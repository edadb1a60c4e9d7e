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
func (b *Ledger) Run(ctx context.Context) error {
	for shard := 0; ; shard = (shard + 1) % Shards {
		pause := time.NewTimer(b.options.Window() / (sweepsPerWindow * Shards))
		select {
		case <-ctx.Done():
			pause.Stop()
			return ctx.Err()
		case <-pause.C:
		}
		b.reportDropped(ctx)
		if b.options.OwnsShard != nil && b.options.OwnsShard(shard) {
			_, _ = b.Sweep(ctx, shard) // remaining records are found by the next sweep
		}
	}
}

// Sweep deletes the records of a shard that are older than twice the window
// and returns how many it deleted.
func (b *Ledger) Sweep(ctx context.Context, shard int) (int, error) {
	listing, err := b.options.Store.List(ctx, fmt.Sprintf("%s%02x/", Prefix, shard))
	if err != nil {
		return 0, newError("sweep", Down, err)
	}
	deleted := 0
	for _, entry := range listing.Entries {
		if !b.old(entry) {
			continue
		}
		if err := b.options.Store.Delete(ctx, entry.Key, entry.Revision); err != nil {
			return deleted, newError("sweep", Down, err)
		}
		deleted++
	}
	return deleted, nil
}

func (b *Ledger) old(entry store.Entry) bool {
	var record Record
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return false
	}
	return time.Since(record.At) > retentionWindows*b.options.Window()+maxSkew
}

// reportDropped writes the dropped claims to the store as not run.
func (b *Ledger) reportDropped(ctx context.Context) {
	for nonce, d := range b.copyDropped() {
		if b.reportOne(ctx, nonce, d) {
			b.mu.Lock()
			delete(b.dropped, nonce)
			b.mu.Unlock()
		}
	}
}

func (b *Ledger) copyDropped() map[string]droppedClaim {
	b.mu.Lock()
	defer b.mu.Unlock()
	dropped := make(map[string]droppedClaim, len(b.dropped))
	for nonce, d := range b.dropped {
		dropped[nonce] = d
	}
	return dropped
}

// reportOne writes a dropped claim to the store as not run and returns whether it
// needs no further attempt. The write of the claim itself may still be in flight,
// so a claim that is not in the store is looked up again until maxRun has passed.
func (b *Ledger) reportOne(ctx context.Context, nonce string, d droppedClaim) bool {
	record, revision, err := b.read(ctx, d.key)
	if err != nil {
		return isKind(err, store.NotFound) && time.Since(d.at) > maxRun
	}
	if record.Nonce != nonce || record.State != Claimed {
		return time.Since(d.at) > maxRun
	}
	record.State = NotRun
	_, err = b.write(ctx, d.key, record, revision)
	return err == nil
}
