package once

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"clementinehead.example/chead/store"
)

// Shards is the number of parts into which records are divided for sweeping.
const Shards = 256

// sweeps is how often each shard is swept in a window.
const sweeps = 4

// kept is how many windows a record is kept.
const kept = 2

// Run tells the store of dropped claims and deletes old records, shard after
// shard, until the context ends. It costs the fleet sweeps*Shards listings a
// window and one deletion a record.
func (b *Book) Run(ctx context.Context) error {
	for shard := 0; ; shard = (shard + 1) % Shards {
		pause := time.NewTimer(b.options.Window() / (sweeps * Shards))
		select {
		case <-ctx.Done():
			pause.Stop()
			return ctx.Err()
		case <-pause.C:
		}
		b.settleDropped(ctx)
		if b.options.Mine != nil && b.options.Mine(shard) {
			_, _ = b.Sweep(ctx, shard) // what is left is found again
		}
	}
}

// Sweep deletes the records of a shard that are older than twice the window
// and returns how many it deleted.
func (b *Book) Sweep(ctx context.Context, shard int) (int, error) {
	listing, err := b.options.Store.List(ctx, fmt.Sprintf("%s%02x/", Prefix, shard))
	if err != nil {
		return 0, fault("sweep", Down, err)
	}
	deleted := 0
	for _, entry := range listing.Entries {
		if !b.old(entry) {
			continue
		}
		if err := b.options.Store.Delete(ctx, entry.Key, entry.Revision); err != nil {
			return deleted, fault("sweep", Down, err)
		}
		deleted++
	}
	return deleted, nil
}

func (b *Book) old(entry store.Entry) bool {
	var record Record
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return false
	}
	return time.Since(record.At) > kept*b.options.Window()+maxSkew
}

// settleDropped tells the store of the dropped claims that it holds.
func (b *Book) settleDropped(ctx context.Context) {
	for nonce, d := range b.pending() {
		if b.settleOne(ctx, nonce, d) {
			b.mu.Lock()
			delete(b.dropped, nonce)
			b.mu.Unlock()
		}
	}
}

func (b *Book) pending() map[string]drop {
	b.mu.Lock()
	defer b.mu.Unlock()
	drops := make(map[string]drop, len(b.dropped))
	for nonce, d := range b.dropped {
		drops[nonce] = d
	}
	return drops
}

// settleOne reports whether nothing is left to tell of a dropped claim. A
// write that is still on its way may come late, so a claim that is not found
// is looked for again until maxRun has passed.
func (b *Book) settleOne(ctx context.Context, nonce string, d drop) bool {
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
