package tally

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"clementinehead.example/chead/store"
	"clementinehead.example/chead/wire"
)

// Prefix is the start of the store keys of usage counts, "tally/HOUR/DAEMON/BOOT"
// with the hour in Unix seconds.
const Prefix = "tally/"

// retention is how long a daemon keeps the counts of past hours in memory after
// they were written to the store.
const retention = 2 * time.Hour

// storedHour is the last known state in the store of one hour of one boot.
type storedHour struct {
	revision uint64
	final    bool // no counts can be added
}

func hourKey(hour int64, boot Boot) string {
	return fmt.Sprintf("%s%d/%s/%d", Prefix, hour, boot.Daemon, boot.Boot)
}

// flush writes the counts of this daemon to the store, and the held counts of
// daemons that have ended.
func (r *Replicator) flush(ctx context.Context) {
	own, err := r.options.Tally.Usage(0, time.Now())
	if err != nil {
		r.options.Log.Error(err, "usage counts not encoded")
		return
	}
	if r.write(ctx, own) {
		r.options.Tally.deleteBefore(time.Now().Add(-retention))
		r.mutex.Lock()
		r.lastSaved = time.Now()
		r.acked = 0
		r.mutex.Unlock()
	}
	for _, held := range r.endedUsage() {
		if r.write(ctx, held.usage) {
			r.removeHeld(held.usage)
		}
	}
}

// write writes the hours of usage that are not final in the store yet. It reports
// whether all of them are written.
func (r *Replicator) write(ctx context.Context, usage *wire.Sheet) bool {
	complete := true
	for _, hour := range hoursOf(usage) {
		part := selectHours(usage, hour, hour+int64(time.Hour/time.Second))
		if err := r.writeHour(ctx, hour, part); err != nil {
			r.metrics.failures.WithLabelValues("flush").Inc()
			complete = false
		}
	}
	return complete
}

// hoursOf returns the hours that usage has counts of and the hour of its end, each
// as Unix seconds of its start.
func hoursOf(usage *wire.Sheet) []int64 {
	hours := []int64{time.Unix(0, usage.Until).Truncate(time.Hour).Unix()}
	seen := map[int64]bool{hours[0]: true}
	for _, count := range usage.Counts {
		if !seen[count.Hour] {
			seen[count.Hour] = true
			hours = append(hours, count.Hour)
		}
	}
	return hours
}

// writeHour writes the counts of one hour to the store. After a conflict or a lost
// answer, it merges them with the stored value and writes again. A lost answer
// needs no other check, since later writes merge with the stored value too.
func (r *Replicator) writeHour(ctx context.Context, hour int64, usage *wire.Sheet) error {
	key := hourKey(hour, Boot{Daemon: usage.Daemon, Boot: usage.Boot})
	known := r.storedHour(key)
	if known.final {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := r.put(ctx, key, known.revision, usage)
	if kindOf(err) == store.Conflict || kindOf(err) == store.Lost {
		revision, err = r.mergeStored(ctx, key, usage)
	}
	if err != nil {
		return &Error{Op: "flush", Kind: Unwritten, Err: err}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.hours[key] = &storedHour{revision: revision, final: isFinal(usage, hour)}
	return nil
}

func isFinal(usage *wire.Sheet, hour int64) bool {
	end := time.Unix(hour, 0).Add(time.Hour)
	return usage.Closed || usage.Until > end.UnixNano()
}

func (r *Replicator) storedHour(key string) storedHour {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known := r.hours[key]; known != nil {
		return *known
	}
	return storedHour{}
}

func (r *Replicator) mergeStored(ctx context.Context, key string, usage *wire.Sheet) (uint64, error) {
	entry, err := r.options.Store.Get(ctx, key)
	if kindOf(err) == store.NotFound {
		return r.put(ctx, key, 0, usage)
	}
	if err != nil {
		return 0, err
	}
	var stored wire.Sheet
	if err := proto.Unmarshal(entry.Value, &stored); err != nil {
		return 0, err
	}
	return r.put(ctx, key, entry.Revision, Merge(&stored, usage))
}

func (r *Replicator) put(ctx context.Context, key string, prev uint64, usage *wire.Sheet) (uint64, error) {
	value, err := proto.Marshal(usage)
	if err != nil {
		return 0, err
	}
	return r.options.Store.Put(ctx, store.Put{Key: key, Value: value, Prev: prev})
}

// kindOf returns the kind of a store error, or -1 for any other value.
func kindOf(err error) store.Kind {
	var storeErr *store.Error
	if errors.As(err, &storeErr) {
		return storeErr.Kind
	}
	return -1
}

// deleteBefore removes the counters of hours that ended before a time.
func (t *Tally) deleteBefore(before time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for l := range t.counters {
		if time.Unix(l.hour, 0).Add(time.Hour).Before(before) {
			delete(t.counters, l)
		}
	}
}

// lookback is how far before a period counts are read, to find boots whose last
// stored hour is before the period.
const lookback = 2 * time.Hour

// ReadHours reads the usage counts of a period from the store. The period must be
// in whole hours, as Widen returns it. The error is that of the store, or of kind
// Unreadable if a value can't be decoded; such a value is never skipped.
func ReadHours(ctx context.Context, client *store.Client, q Query) ([]*wire.Sheet, error) {
	var usages []*wire.Sheet
	for hour := q.From.Add(-lookback); hour.Before(q.Until); hour = hour.Add(time.Hour) {
		listing, err := client.List(ctx, Prefix+strconv.FormatInt(hour.Unix(), 10)+"/")
		if err != nil {
			return nil, err
		}
		for _, entry := range listing.Entries {
			usage := &wire.Sheet{}
			if err := proto.Unmarshal(entry.Value, usage); err != nil {
				return nil, &Error{Op: "read " + strings.TrimPrefix(entry.Key, Prefix), Kind: Unreadable, Err: err}
			}
			usages = append(usages, usage)
		}
	}
	return usages, nil
}
