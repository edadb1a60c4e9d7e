package pick

import (
	"math"
	"slices"
	"time"

	"clementinehead.example/chead/gossip"
)

// queue holds the requests of this daemon that wait for one model or service.
type queue struct {
	service           string       // of its requests, empty before the first
	waiting           []*waiter    // in order of arrival
	freed             meter        // slots that requests of this daemon freed
	arrivals          meter        // requests that arrived, without retries by this daemon or by callers
	firstEventSeconds float64      // mean time from a slot's acquisition to the first event, smoothed
	holdSeconds       float64      // mean time that a request keeps its slot, smoothed
	active            int          // requests with a slot
	granted           int          // slots that went to waiting requests
	paces                          // of all endpoints that its requests run at
	others            gossip.Queue // sum over the other daemons
	hidden            hidden
}

// waiter is a request in a queue.
type waiter struct {
	request     Request
	slot        chan *Slot
	inTimeUntil time.Time // with a slot by then, it can be answered within its latency target
	level       int       // of its account, as of the latest order; 0 where callers don't compete
	reserving   bool      // its send is still in progress
}

// hasIdle reports whether a request waits of which no send is in progress.
func (q *queue) hasIdle() bool {
	return slices.ContainsFunc(q.waiting, func(w *waiter) bool { return !w.reserving })
}

// rejectLate refuses the late requests while the queue is saturated: nearly as many
// requests arrive as slots are freed, and since those in time go first, no slots
// remain for late ones. Requests that may have run (Request.Begun) and requests
// that their callers sent before (Request.Retried) go on waiting.
func (q *queue) rejectLate(now time.Time) {
	if !saturated(q.arrivals.rate(now), q.freed.rate(now)) {
		return
	}
	for _, w := range append([]*waiter(nil), q.waiting...) {
		if w.request.Begun || w.request.Resumed || w.request.Retried || now.Before(w.inTimeUntil) {
			continue
		}
		q.remove(w)
		close(w.slot)
	}
}

// queue returns the queue with a key, which it makes on first use.
func (p *Placer) queue(key string) *queue {
	q, ok := p.queues[key]
	if !ok {
		q = &queue{}
		p.queues[key] = q
	}
	return q
}

// state returns the queue as a request that arrives now finds it. It adds the
// queues of all daemons, since a slot that becomes free may go to a request of any
// of them. Its Slack allows for the mean time from a slot to the first event.
func (q *queue) state(request Request, now time.Time) QueueState {
	sum := q.report(now)
	sum.InTime += q.others.InTime
	sum.Late += q.others.Late
	sum.FreeRate += q.others.FreeRate
	sum.ArrivalRate += q.others.ArrivalRate
	return QueueState{
		InTime: sum.InTime, Late: sum.Late, FreeRate: sum.FreeRate, ArrivalRate: sum.ArrivalRate, MaxWait: request.MaxWait, Begun: request.Begun, Resumed: request.Resumed,
		Hidden: max(0, int(q.hidden.at(now))),
		Slack:  request.Remaining - time.Duration(q.firstEventSeconds*float64(time.Second)),
	}
}

// roundTenths rounds a rate to tenths, which keeps the gossip message short.
func roundTenths(v float64) float64 { return math.Round(v*10) / 10 }

// addPeer adds the queue of another daemon.
func (q *queue) addPeer(other gossip.Queue) {
	q.others.InTime += other.InTime
	q.others.Late += other.Late
	q.others.FreeRate += other.FreeRate
	q.others.ArrivalRate += other.ArrivalRate
}

// hasInTime reports whether a request waits that is still in time. Such a request
// goes before one that arrives.
func (q *queue) hasInTime(now time.Time) bool {
	for _, w := range q.waiting {
		if now.Before(w.inTimeUntil) {
			return true
		}
	}
	return false
}

// report returns the queue of this daemon alone.
func (q *queue) report(now time.Time) gossip.Queue {
	own := gossip.Queue{FreeRate: q.freed.rate(now), ArrivalRate: q.arrivals.rate(now)}
	for _, w := range q.waiting {
		if now.Before(w.inTimeUntil) {
			own.InTime++
		} else {
			own.Late++
		}
	}
	return own
}

// demand returns the number of slots that the requests would take if each was
// served on arrival (Little's law). The requests in progress alone don't show the
// demand for a model with few slots, since its other requests are refused.
func (q *queue) demand(now time.Time) int {
	wanted := q.arrivals.rate(now) * q.holdSeconds
	return max(q.active+len(q.waiting), int(wanted+0.5))
}

// remove takes a waiting request out of the queue, and reports whether it was there.
func (q *queue) remove(w *waiter) bool {
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}
