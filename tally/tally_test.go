package tally

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/wire"
)

var start = time.Date(2026, 12, 3, 10, 15, 0, 0, time.UTC)

func sample(account string, at time.Time) Sample {
	return Sample{
		Account:    account,
		Model:      "brief",
		Version:    "1",
		Outcome:    Served,
		Ran:        engine.Yes,
		Tokens:     10,
		FirstToken: 200 * time.Millisecond,
		TokenGaps:  []time.Duration{20 * time.Millisecond},
		At:         at,
	}
}

func usageAt(t *testing.T, tally *Tally, after uint64, now time.Time) *wire.Sheet {
	t.Helper()
	usage, err := tally.Usage(after, now)
	is.New(t).NoErr(err)
	return usage
}

func requests(usage *wire.Sheet) uint64 {
	var total uint64
	for _, c := range usage.Counts {
		total += c.Requests
	}
	return total
}

func TestUsageHoldsOnlyChanges(t *testing.T) {
	is := is.New(t)
	tally := New(Boot{"d1", 1}, start)
	tally.Count(sample("ledger", start))
	first := usageAt(t, tally, 0, start)
	is.Equal(requests(first), uint64(1))
	is.True(first.Whole)

	tally.Count(sample("guild", start))
	second := usageAt(t, tally, first.Sequence, start.Add(time.Second))
	is.Equal(len(second.Counts), 1) // only the account that changed
	is.True(Follows(first, second))
	is.True(!Follows(nil, second)) // a peer without the first counts must request all

	merged := Merge(first, second)
	is.Equal(requests(merged), uint64(2))
	is.Equal(requests(Merge(merged, second)), uint64(2)) // merging the same counts twice changes nothing
	is.Equal(requests(Merge(second, merged)), uint64(2)) // in either order
}

func TestReportAddsUpBoots(t *testing.T) {
	is := is.New(t)
	one := New(Boot{"d1", 1}, start)
	two := New(Boot{"d2", 1}, start)
	one.Count(sample("ledger", start))
	two.Count(sample("ledger", start))
	two.Count(sample("guild", start))
	now := start.Add(time.Minute)
	usages := []*wire.Sheet{usageAt(t, one, 0, now), usageAt(t, two, 0, now)}

	report, err := Make(Query{Account: "ledger", From: start, Until: now}, usages, now)
	is.NoErr(err)
	is.Equal(len(report.Rows), 1) // counts of other accounts are left out
	is.Equal(report.Rows[0].Requests, uint64(2))
	is.Equal(report.Rows[0].Tokens, uint64(20))
	is.True(report.Rows[0].FirstToken.P95 >= 200)
	is.Equal(len(report.Gaps), 0)
	is.Equal(report.From, start.Truncate(time.Hour))
	is.Equal(report.Until, start.Truncate(time.Hour).Add(time.Hour))
}

func TestReportPeriod(t *testing.T) {
	is := is.New(t)
	_, err := Make(Query{From: start, Until: start}, nil, start)
	failure, ok := err.(*Error)
	is.True(ok)
	is.Equal(failure.Kind, Period)
}

func TestReportGaps(t *testing.T) {
	now := start.Add(30 * time.Minute)
	until := start.Add(10 * time.Minute)
	ended := start.Add(12 * time.Minute)
	tests := []struct {
		name   string
		usages []*wire.Sheet
		want   time.Time // end of the gap that begins at until; zero for no gap
	}{
		{"closed", []*wire.Sheet{{Daemon: "d", Boot: 1, Until: until.UnixNano(), Closed: true}}, time.Time{}},
		{"up to date", []*wire.Sheet{{Daemon: "d", Boot: 1, Until: now.UnixNano()}}, time.Time{}},
		{"silent", []*wire.Sheet{{Daemon: "d", Boot: 1, Until: until.UnixNano()}}, now},
		{
			"found gone",
			[]*wire.Sheet{{Daemon: "d", Boot: 1, Until: until.UnixNano(), Ended: ended.UnixNano()}},
			ended.Add(maxUnsaved),
		},
		{
			"started again",
			[]*wire.Sheet{
				{Daemon: "d", Boot: 1, Until: until.UnixNano()},
				{Daemon: "d", Boot: 2, From: ended.UnixNano(), Until: now.UnixNano()},
			},
			ended,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			report, err := Make(Query{From: start, Until: now}, test.usages, now)
			is.NoErr(err)
			if test.want.IsZero() {
				is.Equal(len(report.Gaps), 0)
				return
			}
			is.Equal(len(report.Gaps), 1)
			is.Equal(report.Gaps[0].From, until)
			is.Equal(report.Gaps[0].Until, test.want)
		})
	}
}
