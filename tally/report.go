package tally

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"clementinehead.example/chead/wire"
)

// Report is what client accounts received and were refused in a period of
// whole hours.
type Report struct {
	Account string    `json:"account,omitempty"` // empty for all
	From    time.Time `json:"from"`
	Until   time.Time `json:"until"`
	Made    time.Time `json:"made"`
	Rows    []Row     `json:"rows"`
	Gaps    []Gap     `json:"gaps"` // what the rows may lack
}

// Row is the count of one outcome of one offer for one account and hour.
type Row struct {
	Hour     time.Time `json:"hour"`
	Account  string    `json:"account"`
	Model    string    `json:"model"`
	Adapter  string    `json:"adapter,omitempty"`
	Version  string    `json:"version,omitempty"`
	Outcome  string    `json:"outcome"`
	Ran      string    `json:"ran"`
	Requests uint64    `json:"requests"`
	Tokens   uint64    `json:"tokens"`
	First    Spread    `json:"first,omitzero"`
	Gap      Spread    `json:"gap,omitzero"`
}

// Spread holds percentiles in milliseconds.
type Spread struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Gap is a time in which a daemon may have answered requests that the rows
// don't hold.
type Gap struct {
	Daemon string    `json:"daemon"`
	Boot   uint64    `json:"boot"`
	From   time.Time `json:"from"`
	Until  time.Time `json:"until"`
}

// Query says what a report is to hold. The period is widened to whole hours.
type Query struct {
	Account string // empty for all
	From    time.Time
	Until   time.Time
}

// Widen returns the query with its period in whole hours, or an error of kind
// Period where Until isn't after From.
func (q Query) Widen() (Query, error) {
	if !q.Until.After(q.From) {
		err := fmt.Errorf("%v is not after %v", q.Until, q.From)
		return Query{}, &Error{Op: "report", Kind: Period, Err: err}
	}
	q.From = q.From.UTC().Truncate(time.Hour)
	if whole := q.Until.UTC().Truncate(time.Hour); whole.Equal(q.Until) {
		q.Until = whole
	} else {
		q.Until = whole.Add(time.Hour)
	}
	return q, nil
}

// Make makes the report that sheets allow at a moment. Several sheets of a
// boot are merged.
func Make(q Query, sheets []*wire.Sheet, now time.Time) (Report, error) {
	q, err := q.Widen()
	if err != nil {
		return Report{}, err
	}
	boots := byBoot(sheets)
	rows, err := rowsOf(q, boots)
	if err != nil {
		return Report{}, err
	}
	return Report{
		Account: q.Account,
		From:    q.From,
		Until:   q.Until,
		Made:    now.UTC(),
		Rows:    rows,
		Gaps:    gapsOf(q, boots, now),
	}, nil
}

func byBoot(sheets []*wire.Sheet) map[Boot]*wire.Sheet {
	boots := map[Boot]*wire.Sheet{}
	for _, sheet := range sheets {
		boot := Boot{Daemon: sheet.Daemon, Boot: sheet.Boot}
		if known := boots[boot]; known != nil {
			sheet = Merge(known, sheet)
		}
		boots[boot] = sheet
	}
	return boots
}

// sum adds up one label over boots.
type sum struct {
	requests, tokens uint64
	first, gap       *hdrhistogram.Histogram
}

func rowsOf(q Query, boots map[Boot]*wire.Sheet) ([]Row, error) {
	sums := map[label]*sum{}
	for _, sheet := range boots {
		for _, count := range sheet.Counts {
			if !q.holds(count) {
				continue
			}
			if err := addUp(sums, count); err != nil {
				return nil, err
			}
		}
	}
	rows := make([]Row, 0, len(sums))
	for l, s := range sums {
		rows = append(rows, s.row(l))
	}
	slices.SortFunc(rows, compareRows)
	return rows, nil
}

func (q Query) holds(c *wire.Count) bool {
	if q.Account != "" && q.Account != c.Account {
		return false
	}
	return c.Hour >= q.From.Unix() && c.Hour < q.Until.Unix()
}

func addUp(sums map[label]*sum, count *wire.Count) error {
	first, err := decode(count.FirstToken)
	if err != nil {
		return err
	}
	gap, err := decode(count.Gap)
	if err != nil {
		return err
	}
	l := labelOfCount(count)
	s := sums[l]
	if s == nil {
		sums[l] = &sum{requests: count.Requests, tokens: count.Tokens, first: first, gap: gap}
		return nil
	}
	s.requests += count.Requests
	s.tokens += count.Tokens
	s.first.Merge(first)
	s.gap.Merge(gap)
	return nil
}

func (s *sum) row(l label) Row {
	return Row{
		Hour:     time.Unix(l.hour, 0).UTC(),
		Account:  l.account,
		Model:    l.model,
		Adapter:  l.adapter,
		Version:  l.version,
		Outcome:  l.outcome,
		Ran:      ranName(l.ran),
		Requests: s.requests,
		Tokens:   s.tokens,
		First:    spreadOf(s.first),
		Gap:      spreadOf(s.gap),
	}
}

func spreadOf(h *hdrhistogram.Histogram) Spread {
	if h.TotalCount() == 0 {
		return Spread{}
	}
	millis := func(percentile float64) float64 {
		return float64(h.ValueAtPercentile(percentile)) / 1000
	}
	return Spread{P50: millis(50), P95: millis(95), P99: millis(99)}
}

func compareRows(a, b Row) int {
	return cmp.Or(
		a.Hour.Compare(b.Hour),
		cmp.Compare(a.Account, b.Account),
		cmp.Compare(a.Model, b.Model),
		cmp.Compare(a.Adapter, b.Adapter),
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Outcome, b.Outcome),
		cmp.Compare(a.Ran, b.Ran),
	)
}

// gapsOf returns the part of the period that each boot lived in, or may have,
// and that its sheet doesn't reach.
func gapsOf(q Query, boots map[Boot]*wire.Sheet, now time.Time) []Gap {
	var gaps []Gap
	for boot, sheet := range boots {
		if sheet.Closed {
			continue
		}
		gap := Gap{
			Daemon: boot.Daemon,
			Boot:   boot.Boot,
			From:   latest(time.Unix(0, sheet.Until), q.From),
			Until:  earliest(lastLife(boots, sheet, now), q.Until),
		}
		if gap.Until.After(gap.From) {
			gaps = append(gaps, gap)
		}
	}
	slices.SortFunc(gaps, func(a, b Gap) int {
		return cmp.Or(cmp.Compare(a.Daemon, b.Daemon), cmp.Compare(a.Boot, b.Boot))
	})
	return gaps
}

// lastLife returns the last moment at which a boot may have answered: a while
// after a peer found it gone, when the daemon's next boot began, or now. The
// while is the time for which a daemon answers though nobody takes its sheets.
func lastLife(boots map[Boot]*wire.Sheet, sheet *wire.Sheet, now time.Time) time.Time {
	last := now
	if sheet.Ended > 0 {
		last = earliest(last, time.Unix(0, sheet.Ended).Add(quietLimit))
	}
	for boot, other := range boots {
		if boot.Daemon == sheet.Daemon && boot.Boot > sheet.Boot {
			last = earliest(last, time.Unix(0, other.From))
		}
	}
	return last
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b.UTC()
	}
	return a.UTC()
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b.UTC()
	}
	return a.UTC()
}
