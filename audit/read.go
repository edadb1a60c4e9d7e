package audit

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Longest is the longest period that can be read at once.
const Longest = 93 * 24 * time.Hour

// Read returns the entries with from <= At < until, oldest first, each id once.
func (t *Trail) Read(ctx context.Context, from, until time.Time) ([]Entry, error) {
	if until.Before(from) || until.Sub(from) > Longest {
		return nil, &Error{Op: "read", Kind: Period, Err: fmt.Errorf("a period lasts 0 to %v", Longest)}
	}
	found := map[string]Entry{}
	for day := from.UTC().Truncate(24 * time.Hour); day.Before(until); day = day.AddDate(0, 0, 1) {
		if err := t.readDay(ctx, day, found); err != nil {
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

// readDay adds the entries of one day. Of two with the same id it keeps the
// one with content.
func (t *Trail) readDay(ctx context.Context, day time.Time, found map[string]Entry) error {
	listing, err := t.options.Store.List(ctx, Prefix+day.Format(dayLayout)+"/")
	if err != nil {
		return &Error{Op: "read", Kind: Store, Err: err}
	}
	for _, row := range listing.Entries {
		var b batch
		if err := json.Unmarshal(row.Value, &b); err != nil {
			return &Error{Op: "read", Kind: Store, Err: fmt.Errorf("%s: %w", row.Key, err)}
		}
		for _, e := range b.Entries {
			if known, ok := found[e.ID]; !ok || len(known.After) < len(e.After) {
				found[e.ID] = e
			}
		}
	}
	return nil
}
