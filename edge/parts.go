package edge

import (
	"context"
	"encoding/json"
	"time"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/watch"
)

const (
	partInterval  = time.Second // between two looks whether the store lacks a refused part
	minPartRecord = time.Minute // a part that is refused for less is not written any more
)

// knownParts returns what is known elsewhere of parts of prompts: what the other daemons
// have told, and what the store holds, which outlasts the daemons.
func (d *Daemon) knownParts(alive []gossip.Message) map[string]gossip.PromptPart {
	parts := gossip.SumParts(alive)
	for id, until := range d.watcher.Snapshot().Parts {
		part := parts[id]
		part.Refused = max(part.Refused, int(time.Until(until)/time.Second))
		parts[id] = part
	}
	return parts
}

// recordParts writes the refused parts that the store lacks, for as long as this daemon is
// the keeper, until the context ends.
func (d *Daemon) recordParts(ctx context.Context) error {
	for clock.Beat(ctx, partInterval) {
		if !d.keeper.IsKeeper() {
			continue
		}
		for part, left := range d.parts.AllRefused() {
			if _, stored := d.watcher.Snapshot().Parts[part]; stored || left < minPartRecord {
				continue
			}
			if err := d.recordPart(ctx, part, left); err != nil {
				d.options.Log.Info("refused part not recorded", "parts", part, "error", err.Error())
			}
		}
	}
	return nil
}

// recordPart writes the record of a part, which ends with the time for which the part is
// refused.
func (d *Daemon) recordPart(ctx context.Context, part string, left time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(watch.RefusedPart{Until: time.Now().Add(left)})
	if err != nil {
		return &Error{Op: "encode part", Kind: Part, Err: err}
	}
	lease, err := d.store.Grant(ctx, left)
	if err != nil {
		return err
	}
	key := platform.RefusedPartKey(part)
	_, err = d.store.Commit(ctx, platform.Txn{
		Era: lease.Era, Expect: []platform.Condition{{Key: key}}, Puts: []platform.Put{{Key: key, Value: value, Lease: lease.ID}},
	})
	if platform.Is(err, platform.Conflict) {
		return nil // it is there
	}
	return err
}
