package keeper

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"clementinehead.example/chead/fleet"
)

// maxClosedOutages is the number of closed outages that are still reported.
const maxClosedOutages = 16

// outageLog records the outages of one fabric domain's groups.
type outageLog struct {
	lastRound time.Time          // when the last round ended
	open      map[string]*outage // by group
	recorded  map[string]*outage // decisions for a group since it last had all its replicas
	closed    []string           // closed outages in words, oldest first
}

// outage is a time in which a group lacked at least one replica, with the decisions
// taken because of it.
type outage struct {
	start     time.Time
	why       fleet.Why // kind of cause of the first decision
	reasons   []string  // of the decisions
	loadStart time.Time // when the last load of weights began, zero if none
}

func newOutageLog(now time.Time) *outageLog {
	return &outageLog{lastRound: now, open: map[string]*outage{}, recorded: map[string]*outage{}}
}

// record adds a decision that explains why a group lacks a replica, or what is
// done about it. Decisions without a group, and those to serve, are skipped.
func (l *outageLog) record(cause fleet.Cause, now time.Time) {
	if cause.Group == "" || cause.Action == "serve" {
		return
	}
	o := l.recorded[cause.Group]
	if o == nil {
		o = &outage{start: cause.Since, why: cause.Why}
		l.recorded[cause.Group] = o
	}
	o.reasons = append(o.reasons, cause.Reason)
	if cause.Action == "mend" || cause.Action == "place" {
		o.loadStart = now
	}
}

// update opens or closes the outage of a group, given how many replicas the group is
// missing. If it opens an outage, it returns how long that one has lasted already.
func (l *outageLog) update(group string, missing int, now time.Time) time.Duration {
	var unnoticed time.Duration
	o := l.open[group]
	switch {
	case missing > 0 && o == nil:
		l.open[group] = l.begin(group, now)
		unnoticed = now.Sub(l.open[group].start)
	case missing <= 0 && o != nil:
		l.closed = append(l.closed, o.describe(group, now))
		l.closed = l.closed[max(0, len(l.closed)-maxClosedOutages):]
		delete(l.open, group)
	}
	if missing <= 0 {
		delete(l.recorded, group)
	}
	return unnoticed
}

// begin returns the outage of a group with the decisions recorded so far. It starts
// now unless the first decision gives an earlier time. Decisions recorded later are
// added to it.
func (l *outageLog) begin(group string, now time.Time) *outage {
	if l.recorded[group] == nil {
		l.recorded[group] = &outage{why: fleet.Wanted}
	}
	o := l.recorded[group]
	if o.start.IsZero() {
		o.start = now
	}
	return o
}

// why returns the kind of cause of a group's outage.
func (l *outageLog) why(group string) fleet.Why {
	if o := l.recorded[group]; o != nil {
		return o.why
	}
	return fleet.Wanted
}

// describe returns an outage in words, such as "group g down 4.2 s: member i
// silent, spare s for i, load 3.1 s".
func (o *outage) describe(group string, now time.Time) string {
	parts := o.reasons
	if !o.loadStart.IsZero() {
		parts = append(slices.Clone(parts), fmt.Sprintf("load %.1f s", now.Sub(o.loadStart).Seconds()))
	}
	if len(parts) == 0 {
		parts = []string{"no place yet"}
	}
	return fmt.Sprintf("group %s down %.1f s: %s", group, now.Sub(o.start).Seconds(), strings.Join(parts, ", "))
}

// describeAll returns the outages in words: first the closed ones, then the open
// ones.
func (l *outageLog) describeAll(now time.Time) []string {
	descriptions := slices.Clone(l.closed)
	for _, group := range slices.Sorted(maps.Keys(l.open)) {
		descriptions = append(descriptions, l.open[group].describe(group, now)+", goes on")
	}
	return descriptions
}
