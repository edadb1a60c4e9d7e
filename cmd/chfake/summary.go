package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"clementinehead.example/chead/fakes"
)

// maxTime is the longest time that the histograms hold, and significantDigits their
// precision. The times are recorded in microseconds.
const (
	maxTime           = time.Minute
	significantDigits = 3
)

// summary holds the results of a load.
type summary struct {
	mu            sync.Mutex
	served        map[string]int          // by kind of request
	refused       map[string]int          // answered as not run, by code
	unsettled     map[string]int          // not repeatable and refused as possibly run, by code
	resent        map[string]int          // attempts that were followed by another one, by code
	lost          map[string]int          // neither served nor refused as above, by code
	duplicated    []string                // ids of non-repeatable requests that ran more than once
	falseRefusals []string                // ids of requests that ran although every attempt was answered as not run
	violations    map[string]int          // violations recorded by the engines, by breach
	toVerify      []exchange              // requests whose number of runs is to be checked
	first         *hdrhistogram.Histogram // times to the first token
	gap           *hdrhistogram.Histogram // times between tokens
}

func newSummary() *summary {
	return &summary{
		served:    map[string]int{},
		refused:   map[string]int{},
		unsettled: map[string]int{},
		resent:    map[string]int{},
		lost:      map[string]int{},
		first:     hdrhistogram.New(1, maxTime.Microseconds(), significantDigits),
		gap:       hdrhistogram.New(1, maxTime.Microseconds(), significantDigits),
	}
}

// add adds the outcome of a request.
func (s *summary) add(e exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range e.earlier {
		s.resent[a.code]++
	}
	s.count(e)
	if e.request.once || e.reportedNotRun() {
		s.toVerify = append(s.toVerify, e)
	}
	if e.last.first > 0 {
		_ = s.first.RecordValue(e.last.first.Microseconds())
	}
	for _, gap := range e.last.gaps {
		_ = s.gap.RecordValue(gap.Microseconds())
	}
}

// count counts a request under its outcome.
func (s *summary) count(e exchange) {
	switch {
	case e.last.result == served:
		s.served[e.request.kind()]++
	case e.reportedNotRun():
		s.refused[e.last.code]++
	case e.request.once && e.last.result == refused:
		s.unsettled[e.last.code]++
	default:
		s.lost[e.last.code]++
	}
}

// reportedNotRun reports whether every attempt ended with the information that the
// request did not run.
func (e exchange) reportedNotRun() bool {
	for _, a := range append(e.earlier, e.last) {
		if a.ran != "no" {
			return false
		}
	}
	return true
}

// kind returns the kind under which a served request is counted.
func (r request) kind() string {
	switch {
	case r.service != "":
		return "service"
	case r.stream:
		return "streamed"
	default:
		return "whole"
	}
}

// verify compares the answers with the runs that were counted, and reads the
// violations that the engines recorded.
func (s *summary) verify(ctx context.Context, p processClient) error {
	for _, e := range s.toVerify {
		runs, err := p.runs(ctx, e.request.key())
		if err != nil {
			return err
		}
		if e.request.once && runs > 1 {
			s.duplicated = append(s.duplicated, e.request.id)
		}
		if e.reportedNotRun() && runs > 0 {
			s.falseRefusals = append(s.falseRefusals, e.request.id)
		}
	}
	var err error
	s.violations, err = p.violations(ctx)
	return err
}

// violated reports whether the system broke a guarantee. Of the violations recorded
// by engines only overload counts.
func (s *summary) violated() bool {
	return len(s.lost)+len(s.duplicated)+len(s.falseRefusals)+s.violations[fakes.Overload.String()] > 0
}

// print writes the summary as text.
func (s *summary) print(w io.Writer) {
	printLine(w, "served", total(s.served), formatCounts(s.served))
	printLine(w, "refused, not run", total(s.refused), formatCounts(s.refused))
	printLine(w, "told it may have run", total(s.unsettled), formatCounts(s.unsettled))
	printLine(w, "sent again", total(s.resent), formatCounts(s.resent))
	printLine(w, "lost", total(s.lost), formatCounts(s.lost))
	printLine(w, "doubled", len(s.duplicated), strings.Join(s.duplicated, " "))
	printLine(w, "untruly refused", len(s.falseRefusals), strings.Join(s.falseRefusals, " "))
	printLine(w, "endpoint violations", total(s.violations), strings.ToLower(formatCounts(s.violations)))
	printTimes(w, "first token", s.first)
	printTimes(w, "between tokens", s.gap)
}

func printLine(w io.Writer, name string, count int, rest string) {
	fmt.Fprintln(w, strings.TrimSpace(fmt.Sprintf("%-21s %6d  %s", name, count, rest)))
}

func printTimes(w io.Writer, name string, h *hdrhistogram.Histogram) {
	fmt.Fprintf(w, "%-21s p50 %s, p95 %s\n", name, quantileTime(h, 50), quantileTime(h, 95))
}

// quantileTime returns a quantile, given in percent, rounded to 0.1 ms.
func quantileTime(h *hdrhistogram.Histogram, quantile float64) time.Duration {
	return (time.Duration(h.ValueAtQuantile(quantile)) * time.Microsecond).Round(100 * time.Microsecond)
}

func total(counts map[string]int) int {
	sum := 0
	for _, count := range counts {
		sum += count
	}
	return sum
}

func formatCounts(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}
