package pick

import (
	"math"
	"sort"
	"time"

	"clementinehead.example/chead/gossip"
)

// line is the requests that wait for one model or service.
type line struct {
	waiting  []*waiter // by arrival
	freed    meter     // places that came free here
	arrivals meter
	first    float64     // seconds from a place to the first event or answer, smoothed
	held     float64     // seconds that a request keeps its place, smoothed
	active   int         // requests with a place
	others   gossip.Line // of the other daemons together
}

type waiter struct {
	ask    Ask
	place  chan *Place
	inTime time.Time // with a place by then it can be answered within its aim
}

// clear refuses those that wait in vain: late ones, while those in time take
// all places.
func (l *line) clear(now time.Time) {
	if !crowded(l.arrivals.rate(now), l.freed.rate(now)) {
		return
	}
	for _, w := range append([]*waiter(nil), l.waiting...) {
		if w.ask.Begun || w.ask.Back || now.Before(w.inTime) {
			continue
		}
		l.remove(w)
		close(w.place)
	}
}

func (d *Desk) line(key string) *line {
	l, ok := d.lines[key]
	if !ok {
		l = &line{}
		d.lines[key] = l
	}
	return l
}

// queue returns what a request finds that arrives now. A place that comes free
// may go to any daemon's request, so the lines of all daemons are one.
func (l *line) queue(ask Ask, now time.Time) Queue {
	all := l.tell(now)
	all.Soon += l.others.Soon
	all.Late += l.others.Late
	all.Freed += l.others.Freed
	all.Came += l.others.Came
	return Queue{
		InTime: all.Soon, Late: all.Late, Rate: all.Freed, Arrivals: all.Came, Limit: ask.Limit, Begun: ask.Begun,
		Slack: ask.Aim - time.Duration(l.first*float64(time.Second)),
	}
}

// tenths rounds a rate, which is told to others in text.
func tenths(v float64) float64 { return math.Round(v*10) / 10 }

// join adds another daemon's line.
func (l *line) join(other gossip.Line) {
	l.others.Soon += other.Soon
	l.others.Late += other.Late
	l.others.Freed += other.Freed
	l.others.Came += other.Came
}

// busy reports whether a request waits here that goes before one that arrives.
func (l *line) busy(now time.Time) bool {
	for _, w := range l.waiting {
		if now.Before(w.inTime) {
			return true
		}
	}
	return false
}

// tell returns this daemon's own line.
func (l *line) tell(now time.Time) gossip.Line {
	own := gossip.Line{Freed: l.freed.rate(now), Came: l.arrivals.rate(now)}
	for _, w := range l.waiting {
		if now.Before(w.inTime) {
			own.Soon++
		} else {
			own.Late++
		}
	}
	return own
}

// order returns those that wait, the first to be served first: streams that
// broke off, then who can be answered in time, by rank, then who came back after
// a refusal, then the rest; among equals by arrival.
func (l *line) order(now time.Time) []*waiter {
	ordered := append([]*waiter(nil), l.waiting...)
	sort.SliceStable(ordered, func(i, j int) bool {
		a, b := ordered[i], ordered[j]
		if a.ask.Begun != b.ask.Begun {
			return a.ask.Begun
		}
		if inTime := now.Before(a.inTime); inTime != now.Before(b.inTime) {
			return inTime
		}
		if a.ask.Rank != b.ask.Rank {
			return a.ask.Rank < b.ask.Rank
		}
		return a.ask.Back && !b.ask.Back
	})
	return ordered
}

// demand returns the places that the requests would take if all were served at
// once (Little's law). What is in progress says too little of a model that has
// few places: the rest of its requests are refused.
func (l *line) demand(now time.Time) int {
	wanted := l.arrivals.rate(now) * l.held
	return max(l.active+len(l.waiting), int(wanted+0.5))
}

func (l *line) remove(w *waiter) {
	for i, other := range l.waiting {
		if other == w {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return
		}
	}
}
