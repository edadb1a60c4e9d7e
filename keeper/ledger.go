package keeper

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"clementinehead.example/chead/fleet"
)

// remembered is the number of outages that are over and still told of.
const remembered = 16

// ledger is the account of one fabric domain's outages.
type ledger struct {
	last   time.Time          // of the last round
	open   map[string]*outage // by group
	causes map[string]*outage // what was decided for a group since it last lacked nothing
	over   []string
}

// outage is a time in which a group lacked a replica, and what was done.
type outage struct {
	from  time.Time
	why   fleet.Why
	words []string
	load  time.Time // when the last load began, zero before
}

func newLedger(now time.Time) *ledger {
	return &ledger{last: now, open: map[string]*outage{}, causes: map[string]*outage{}}
}

// note takes in a decision that explains why a group lacks a replica, or what
// is done about it.
func (l *ledger) note(cause fleet.Cause, now time.Time) {
	if cause.Group == "" || cause.Action == "serve" {
		return
	}
	o := l.causes[cause.Group]
	if o == nil {
		o = &outage{from: cause.From, why: cause.Why}
		l.causes[cause.Group] = o
	}
	o.words = append(o.words, cause.Reason)
	if cause.Action == "mend" || cause.Action == "place" {
		o.load = now
	}
}

// measure opens and closes the outage of a group. It returns how long one that
// it opens had gone on unnoticed.
func (l *ledger) measure(group string, lacks int, now time.Time) time.Duration {
	var unnoticed time.Duration
	o := l.open[group]
	switch {
	case lacks > 0 && o == nil:
		l.open[group] = l.begin(group, now)
		unnoticed = now.Sub(l.open[group].from)
	case lacks <= 0 && o != nil:
		l.over = append(l.over, o.line(group, now))
		l.over = l.over[max(0, len(l.over)-remembered):]
		delete(l.open, group)
	}
	if lacks <= 0 {
		delete(l.causes, group)
	}
	return unnoticed
}

// begin opens an outage with the causes noted so far, or with those to come.
func (l *ledger) begin(group string, now time.Time) *outage {
	if l.causes[group] == nil {
		l.causes[group] = &outage{why: fleet.Wanted}
	}
	o := l.causes[group]
	if o.from.IsZero() {
		o.from = now
	}
	return o
}

// why returns the kind of cause of a group's outage.
func (l *ledger) why(group string) fleet.Why {
	if o := l.causes[group]; o != nil {
		return o.why
	}
	return fleet.Wanted
}

// line tells of an outage, such as "group g down 4.2 s: member i silent, spare
// s for i, load 3.1 s".
func (o *outage) line(group string, now time.Time) string {
	words := o.words
	if !o.load.IsZero() {
		words = append(slices.Clone(words), fmt.Sprintf("load %.1f s", now.Sub(o.load).Seconds()))
	}
	if len(words) == 0 {
		words = []string{"no place yet"}
	}
	return fmt.Sprintf("group %s down %.1f s: %s", group, now.Sub(o.from).Seconds(), strings.Join(words, ", "))
}

// lines returns the outages in words, those that go on last.
func (l *ledger) lines(now time.Time) []string {
	lines := slices.Clone(l.over)
	for _, group := range slices.Sorted(maps.Keys(l.open)) {
		lines = append(lines, l.open[group].line(group, now)+", goes on")
	}
	return lines
}
