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

// Prefix begins the store's keys of usage pages, "tally/HOUR/DAEMON/BOOT" with
// the hour in Unix seconds.
const Prefix = "tally/"

// retention is how long a daemon keeps hours that are in the store.
const retention = 2 * time.Hour

// page is one hour of one boot as it stands in the store.
type page struct {
	revision uint64
	final    bool // nothing can be added any more
}

func pageKey(hour int64, boot Boot) string {
	return fmt.Sprintf("%s%d/%s/%d", Prefix, hour, boot.Daemon, boot.Boot)
}

// flush writes this daemon's hours, and those of held daemons that are gone.
func (h *Holder) flush(ctx context.Context) {
	own, err := h.options.Tally.Sheet(0, time.Now())
	if err != nil {
		h.options.Log.Error(err, "usage sheet not made")
		return
	}
	if h.write(ctx, own) {
		h.options.Tally.forget(time.Now().Add(-retention))
		h.mutex.Lock()
		h.kept = time.Now()
		h.acked = 0
		h.mutex.Unlock()
	}
	for _, held := range h.abandoned() {
		if h.write(ctx, held.sheet) {
			h.release(held.sheet)
		}
	}
}

// write writes a sheet's pages that are not final yet and reports whether all
// are written.
func (h *Holder) write(ctx context.Context, sheet *wire.Sheet) bool {
	whole := true
	for _, hour := range hoursOf(sheet) {
		part := cut(sheet, hour, hour+int64(time.Hour/time.Second))
		if err := h.writePage(ctx, hour, part); err != nil {
			h.metrics.failures.WithLabelValues("flush").Inc()
			whole = false
		}
	}
	return whole
}

// hoursOf returns the hours that a sheet has counts of, and the hour up to
// which it is complete.
func hoursOf(sheet *wire.Sheet) []int64 {
	hours := []int64{time.Unix(0, sheet.Until).Truncate(time.Hour).Unix()}
	seen := map[int64]bool{hours[0]: true}
	for _, count := range sheet.Counts {
		if !seen[count.Hour] {
			seen[count.Hour] = true
			hours = append(hours, count.Hour)
		}
	}
	return hours
}

// writePage merges a page into the store. A lost answer needs no settling: the
// next write merges with whatever stands there.
func (h *Holder) writePage(ctx context.Context, hour int64, sheet *wire.Sheet) error {
	key := pageKey(hour, Boot{Daemon: sheet.Daemon, Boot: sheet.Boot})
	known := h.page(key)
	if known.final {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, flushLimit)
	defer cancel()
	revision, err := h.put(ctx, key, known.revision, sheet)
	if kindOf(err) == store.Conflict || kindOf(err) == store.Lost {
		revision, err = h.mergeIn(ctx, key, sheet)
	}
	if err != nil {
		return &Error{Op: "flush", Kind: Unkept, Err: err}
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.pages[key] = &page{revision: revision, final: finalAt(sheet, hour)}
	return nil
}

func finalAt(sheet *wire.Sheet, hour int64) bool {
	end := time.Unix(hour, 0).Add(time.Hour)
	return sheet.Closed || sheet.Until > end.UnixNano()
}

func (h *Holder) page(key string) page {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if p := h.pages[key]; p != nil {
		return *p
	}
	return page{}
}

func (h *Holder) mergeIn(ctx context.Context, key string, sheet *wire.Sheet) (uint64, error) {
	entry, err := h.options.Store.Get(ctx, key)
	if kindOf(err) == store.NotFound {
		return h.put(ctx, key, 0, sheet)
	}
	if err != nil {
		return 0, err
	}
	var kept wire.Sheet
	if err := proto.Unmarshal(entry.Value, &kept); err != nil {
		return 0, err
	}
	return h.put(ctx, key, entry.Revision, Merge(&kept, sheet))
}

func (h *Holder) put(ctx context.Context, key string, prev uint64, sheet *wire.Sheet) (uint64, error) {
	value, err := proto.Marshal(sheet)
	if err != nil {
		return 0, err
	}
	return h.options.Store.Put(ctx, store.Put{Key: key, Value: value, Prev: prev})
}

// kindOf returns the kind of a store error, or -1 for none.
func kindOf(err error) store.Kind {
	var fault *store.Error
	if errors.As(err, &fault) {
		return fault.Kind
	}
	return -1
}

// forget drops counters of hours that ended before a moment.
func (t *Tally) forget(before time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for l := range t.counters {
		if time.Unix(l.hour, 0).Add(time.Hour).Before(before) {
			delete(t.counters, l)
		}
	}
}

// lookback is how far before a period pages are read, for boots whose last
// page lies before it.
const lookback = 2 * time.Hour

// Pages reads the pages of a period from the store. Pages that can't be read
// are an error of kind Unreadable, never passed over.
func Pages(ctx context.Context, client *store.Client, q Query) ([]*wire.Sheet, error) {
	var sheets []*wire.Sheet
	for hour := q.From.Add(-lookback); hour.Before(q.Until); hour = hour.Add(time.Hour) {
		listing, err := client.List(ctx, Prefix+strconv.FormatInt(hour.Unix(), 10)+"/")
		if err != nil {
			return nil, err
		}
		for _, entry := range listing.Entries {
			sheet := &wire.Sheet{}
			if err := proto.Unmarshal(entry.Value, sheet); err != nil {
				return nil, &Error{Op: "read " + strings.TrimPrefix(entry.Key, Prefix), Kind: Unreadable, Err: err}
			}
			sheets = append(sheets, sheet)
		}
	}
	return sheets, nil
}
