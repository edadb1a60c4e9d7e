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

// maxTime and digits are the range and precision of the measured times; they
// are kept in microseconds.
const (
	maxTime = time.Minute
	digits  = 3
)

// summary is what came of a load.
type summary struct {
	mu        sync.Mutex
	served    map[string]int // by kind of request
	refused   map[string]int // not run, by code
	unsettled map[string]int // not repeatable, and may have run, by code
	resent    map[string]int // attempts before the last, by code
	lost      map[string]int // by code
	doubled   []string       // not repeatable, ran more than once
	untrue    []string       // refused as not run, and ran
	broken    map[string]int // rules broken towards engines, by breach
	once      []end
	first     *hdrhistogram.Histogram
	gap       *hdrhistogram.Histogram
}

func newSummary() *summary {
	return &summary{
		served:    map[string]int{},
		refused:   map[string]int{},
		unsettled: map[string]int{},
		resent:    map[string]int{},
		lost:      map[string]int{},
		first:     hdrhistogram.New(1, maxTime.Microseconds(), digits),
		gap:       hdrhistogram.New(1, maxTime.Microseconds(), digits),
	}
}

// add counts the end of a request.
func (s *summary) add(e end) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range e.attempts {
		s.resent[a.code]++
	}
	s.count(e)
	if e.request.once || e.untold() {
		s.once = append(s.once, e)
	}
	if e.last.first > 0 {
		_ = s.first.RecordValue(e.last.first.Microseconds())
	}
	for _, gap := range e.last.gaps {
		_ = s.gap.RecordValue(gap.Microseconds())
	}
}

func (s *summary) count(e end) {
	switch {
	case e.last.result == served:
		s.served[e.request.kind()]++
	case e.untold():
		s.refused[e.last.code]++
	case e.request.once && e.last.result == refused:
		s.unsettled[e.last.code]++
	default:
		s.lost[e.last.code]++
	}
}

// untold reports whether the caller was told, at every attempt, that the
// request was not run.
func (e end) untold() bool {
	for _, a := range append(e.attempts, e.last) {
		if a.ran != "no" {
			return false
		}
	}
	return true
}

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

// audit compares the ends with what ran.
func (s *summary) audit(ctx context.Context, p platform) error {
	for _, e := range s.once {
		runs, err := p.runs(ctx, e.request.key())
		if err != nil {
			return err
		}
		if e.request.once && runs > 1 {
			s.doubled = append(s.doubled, e.request.id)
		}
		if e.untold() && runs > 0 {
			s.untrue = append(s.untrue, e.request.id)
		}
	}
	var err error
	s.broken, err = p.violations(ctx)
	return err
}

func (s *summary) faulty() bool {
	return len(s.lost)+len(s.doubled)+len(s.untrue)+s.broken[fakes.Overload.String()] > 0
}

// print writes the summary.
func (s *summary) print(w io.Writer) {
	line(w, "served", total(s.served), byName(s.served))
	line(w, "refused, not run", total(s.refused), byName(s.refused))
	line(w, "told it may have run", total(s.unsettled), byName(s.unsettled))
	line(w, "sent again", total(s.resent), byName(s.resent))
	line(w, "lost", total(s.lost), byName(s.lost))
	line(w, "doubled", len(s.doubled), strings.Join(s.doubled, " "))
	line(w, "untruly refused", len(s.untrue), strings.Join(s.untrue, " "))
	line(w, "endpoint violations", total(s.broken), strings.ToLower(byName(s.broken)))
	times(w, "first token", s.first)
	times(w, "between tokens", s.gap)
}

func line(w io.Writer, name string, count int, rest string) {
	fmt.Fprintln(w, strings.TrimSpace(fmt.Sprintf("%-21s %6d  %s", name, count, rest)))
}

func times(w io.Writer, name string, h *hdrhistogram.Histogram) {
	fmt.Fprintf(w, "%-21s p50 %s, p95 %s\n", name, at(h, 50), at(h, 95))
}

func at(h *hdrhistogram.Histogram, quantile float64) time.Duration {
	return (time.Duration(h.ValueAtQuantile(quantile)) * time.Microsecond).Round(100 * time.Microsecond)
}

func total(counts map[string]int) int {
	sum := 0
	for _, count := range counts {
		sum += count
	}
	return sum
}

func byName(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}
