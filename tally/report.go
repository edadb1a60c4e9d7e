package tally

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"clementinehead.example/chead/wire"
)

// Report states what client accounts received and were refused in a period of
// whole hours.
type Report struct {
	Account string        `json:"account,omitempty"` // empty for all
	From    time.Time     `json:"from"`
	Until   time.Time     `json:"until"`
	Made    time.Time     `json:"made"`
	Rows    []Row         `json:"rows"`
	Gaps    []CoverageGap `json:"gaps"` // where counts may be missing from the rows
}

// Row is the count of the requests of one hour with the same account, model,
// adapter, version, outcome and Ran, which is whether they ran. FirstToken is the
// time to the first token, TokenGap the time between tokens.
type Row struct {
	Hour       time.Time   `json:"hour"`
	Account    string      `json:"account"`
	Model      string      `json:"model"`
	Adapter    string      `json:"adapter,omitempty"`
	Version    string      `json:"version,omitempty"`
	Outcome    string      `json:"outcome"`
	Ran        string      `json:"ran"`
	Requests   uint64      `json:"requests"`
	Tokens     uint64      `json:"tokens"`
	FirstToken Percentiles `json:"first,omitzero"`
	TokenGap   Percentiles `json:"gap,omitzero"`
}

// Percentiles are percentiles of a duration, in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// CoverageGap is a period in which a daemon may have answered requests that are
// missing from the rows.
type CoverageGap struct {
	Daemon string    `json:"daemon"`
	Boot   uint64    `json:"boot"`
	From   time.Time `json:"from"`
	Until  time.Time `json:"until"`
}

// Query selects the contents of a report. Its period is widened to whole hours.
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
	if hour := q.Until.UTC().Truncate(time.Hour); hour.Equal(q.Until) {
		q.Until = hour
	} else {
		q.Until = hour.Add(time.Hour)
	}
	return q, nil
}

// Make returns the report of usage counts as known at now. Counts of the same boot
// are merged. The error is of kind Period or Unreadable.
func Make(q Query, usages []*wire.Sheet, now time.Time) (Report, error) {
	q, err := q.Widen()
	if err != nil {
		return Report{}, err
	}
	boots := byBoot(usages)
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
		Gaps:    coverageGaps(q, boots, now),
	}, nil
}

func byBoot(usages []*wire.Sheet) map[Boot]*wire.Sheet {
	boots := map[Boot]*wire.Sheet{}
	for _, usage := range usages {
		boot := Boot{Daemon: usage.Daemon, Boot: usage.Boot}
		if known := boots[boot]; known != nil {
			usage = Merge(known, usage)
		}
		boots[boot] = usage
	}
	return boots
}

// sum is the total of one label over all boots.
type sum struct {
	requests, tokens     uint64
	firstToken, tokenGap *hdrhistogram.Histogram
}

func rowsOf(q Query, boots map[Boot]*wire.Sheet) ([]Row, error) {
	sums := map[label]*sum{}
	for _, usage := range boots {
		for _, count := range usage.Counts {
			if !q.matches(count) {
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

func (q Query) matches(c *wire.Count) bool {
	if q.Account != "" && q.Account != c.Account {
		return false
	}
	return c.Hour >= q.From.Unix() && c.Hour < q.Until.Unix()
}

func addUp(sums map[label]*sum, count *wire.Count) error {
	firstToken, err := decode(count.FirstToken)
	if err != nil {
		return err
	}
	tokenGap, err := decode(count.Gap)
	if err != nil {
		return err
	}
	l := labelOfCount(count)
	s := sums[l]
	if s == nil {
		sums[l] = &sum{requests: count.Requests, tokens: count.Tokens, firstToken: firstToken, tokenGap: tokenGap}
		return nil
	}
	s.requests += count.Requests
	s.tokens += count.Tokens
	s.firstToken.Merge(firstToken)
	s.tokenGap.Merge(tokenGap)
	return nil
}

func (s *sum) row(l label) Row {
	return Row{
		Hour:       time.Unix(l.hour, 0).UTC(),
		Account:    l.account,
		Model:      l.model,
		Adapter:    l.adapter,
		Version:    l.version,
		Outcome:    l.outcome,
		Ran:        ranName(l.ran),
		Requests:   s.requests,
		Tokens:     s.tokens,
		FirstToken: percentilesOf(s.firstToken),
		TokenGap:   percentilesOf(s.tokenGap),
	}
}

func percentilesOf(h *hdrhistogram.Histogram) Percentiles {
	if h.TotalCount() == 0 {
		return Percentiles{}
	}
	millis := func(percentile float64) float64 {
		return float64(h.ValueAtPercentile(percentile)) / 1000
	}
	return Percentiles{P50: millis(50), P95: millis(95), P99: millis(99)}
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

// coverageGaps returns, for each boot, the part of the period in which it ran or
// may have run and that its usage counts don't cover.
func coverageGaps(q Query, boots map[Boot]*wire.Sheet, now time.Time) []CoverageGap {
	var gaps []CoverageGap
	for boot, usage := range boots {
		if usage.Closed {
			continue
		}
		gap := CoverageGap{
			Daemon: boot.Daemon,
			Boot:   boot.Boot,
			From:   latest(time.Unix(0, usage.Until), q.From),
			Until:  earliest(lastPossibleAnswer(boots, usage, now), q.Until),
		}
		if gap.Until.After(gap.From) {
			gaps = append(gaps, gap)
		}
	}
	slices.SortFunc(gaps, func(a, b CoverageGap) int {
		return cmp.Or(cmp.Compare(a.Daemon, b.Daemon), cmp.Compare(a.Boot, b.Boot))
	})
	return gaps
}

// lastPossibleAnswer returns the last time at which a boot may have answered. It is
// the earliest of now, the start of the daemon's next boot, and maxUnsaved after a
// peer found the boot ended, since a daemon answers for that long without saving
// its counts.
func lastPossibleAnswer(boots map[Boot]*wire.Sheet, usage *wire.Sheet, now time.Time) time.Time {
	last := now
	if usage.Ended > 0 {
		last = earliest(last, time.Unix(0, usage.Ended).Add(maxUnsaved))
	}
	for boot, other := range boots {
		if boot.Daemon == usage.Daemon && boot.Boot > usage.Boot {
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
