package tally

import (
	"cmp"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/wire"
)

// ranName returns the name of r in reports and refusals.
func ranName(r engine.Ran) string { return strings.ToLower(r.String()) }

// Boot identifies one run of one daemon.
type Boot struct {
	Daemon string
	Boot   uint64 // start of the process, Unix nanoseconds
}

// Merge returns the usage counts that either argument contains. Both must be of
// the same boot. Counts are cumulative, so of two with the same labels the one
// with more requests is taken. Neither argument is changed.
//
// The argument with the higher sequence may contain only changes since an earlier
// sequence. Follows reports whether the pair is complete.
func Merge(a, b *wire.Sheet) *wire.Sheet {
	merged := &wire.Sheet{
		Daemon:   a.Daemon,
		Boot:     a.Boot,
		From:     min(a.From, b.From),
		Sequence: max(a.Sequence, b.Sequence),
		Until:    max(a.Until, b.Until),
		Ended:    endOf(a, b),
		Closed:   a.Closed || b.Closed,
		Whole:    a.Whole || b.Whole,
	}
	counts := map[label]*wire.Count{}
	for _, c := range slices.Concat(a.Counts, b.Counts) {
		l := labelOfCount(c)
		if known := counts[l]; known == nil || c.Requests > known.Requests {
			counts[l] = c
		}
	}
	for _, c := range counts {
		merged.Counts = append(merged.Counts, proto.Clone(c).(*wire.Count))
	}
	slices.SortFunc(merged.Counts, compareCounts)
	return merged
}

// endOf returns when a boot was found to have ended, Unix nanoseconds, or 0. Later
// counts of the boot prove that it had not ended.
func endOf(a, b *wire.Sheet) int64 {
	ended := max(a.Ended, b.Ended)
	if max(a.Until, b.Until) > ended {
		return 0
	}
	return ended
}

// Follows reports whether the usage counts known, which may be nil, and next are
// complete together: next is whole, or has all changes since a sequence that known
// has reached.
func Follows(known, next *wire.Sheet) bool {
	if next.Whole {
		return true
	}
	return known != nil && known.Sequence >= next.After
}

func labelOfCount(c *wire.Count) label {
	return label{
		account: c.Account,
		model:   c.Model,
		adapter: c.Adapter,
		version: c.Version,
		outcome: c.Outcome,
		ran:     ranOf(c.Ran),
		hour:    c.Hour,
	}
}

// ranOf is the inverse of ranName. It returns Unknown for other names.
func ranOf(name string) engine.Ran {
	for _, r := range []engine.Ran{engine.No, engine.Yes} {
		if ranName(r) == name {
			return r
		}
	}
	return engine.Unknown
}

func compareCounts(a, b *wire.Count) int {
	return cmp.Or(
		cmp.Compare(a.Hour, b.Hour),
		cmp.Compare(a.Account, b.Account),
		cmp.Compare(a.Model, b.Model),
		cmp.Compare(a.Adapter, b.Adapter),
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Outcome, b.Outcome),
		cmp.Compare(a.Ran, b.Ran),
	)
}
