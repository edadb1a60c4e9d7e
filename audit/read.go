package audit

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// MaxPeriod is the longest period that one Read accepts.
const MaxPeriod = 93 * 24 * time.Hour

// Read returns the entries with from <= At < until, oldest first and each id once.
// The error is of kind Period or Store.
func (l *Log) Read(ctx context.Context, from, until time.Time) ([]Entry, error) {
	if until.Before(from) || until.Sub(from) > MaxPeriod {
		return nil, &Error{Op: "read", Kind: Period, Err: fmt.Errorf("a period lasts 0 to %v", MaxPeriod)}
	}
	found := map[string]Entry{}
	for day := from.UTC().Truncate(24 * time.Hour); day.Before(until); day = day.AddDate(0, 0, 1) {
		if err := l.readDay(ctx, day, found); err != nil {
			return nil, err
		}
	}
	entries := make([]Entry, 0, len(found))
	for _, e := range found {
		if !e.At.Before(from) && e.At.Before(until) {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID))
	})
	return entries, nil
}

// readDay adds the entries of one day to found. Of two with the same id it keeps
// the one with the longer After, since one of them may lack its content.
func (l *Log) readDay(ctx context.Context, day time.Time, found map[string]Entry) error {
	listing, err := l.options.Store.List(ctx, Prefix+day.Format(dayLayout)+"/")
	if err != nil {
		return &Error{Op: "read", Kind: Store, Err: err}
	}
	for _, item := range listing.Entries {
		var b batch
		if err := json.Unmarshal(item.Value, &b); err != nil {
			return &Error{Op: "read", Kind: Store, Err: fmt.Errorf("%s: %w", item.Key, err)}
		}
		for _, e := range b.Entries {
			if known, ok := found[e.ID]; !ok || len(known.After) < len(e.After) {
				found[e.ID] = e
			}
		}
	}
	return nil
}
