package tally

import (
	"cmp"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/wire"
)

// ranName is the name that reports and refusals use.
func ranName(r engine.Ran) string { return strings.ToLower(r.String()) }

// Boot names one run of one daemon.
type Boot struct {
	Daemon string
	Boot   uint64 // start of the process, Unix nanoseconds
}

// Merge returns a sheet with all that either argument vouches for. Both must
// be of the same boot. Counts are cumulative, so of two with the same labels
// the one with more requests holds. Neither argument is changed.
//
// A sheet of a higher sequence may hold only what changed since the one
// before: Follows tells whether the pair leaves nothing out.
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

// endOf returns when a boot was found gone. A sheet that reaches further shows
// that it wasn't.
func endOf(a, b *wire.Sheet) int64 {
	ended := max(a.Ended, b.Ended)
	if max(a.Until, b.Until) > ended {
		return 0
	}
	return ended
}

// Follows reports whether next, on top of what is held, leaves nothing out.
func Follows(held, next *wire.Sheet) bool {
	if next.Whole {
		return true
	}
	return held != nil && held.Sequence >= next.After
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

// ranOf reads a name; one that does not exist stands for Unknown.
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
