package front

import (
	"context"
	"maps"
	"sync"
	"time"

	"clementinehead.example/chead/pick"
	"clementinehead.example/chead/reach"
)

const (
	stallAfter   = 500 * time.Millisecond // silence after which the endpoint is checked
	stallRecheck = 100 * time.Millisecond // time between further checks
	minTakeover  = 500 * time.Millisecond // least remaining time in which another endpoint can take over
)

// watchdog watches a send for silence. While no event arrives, it checks whether the
// endpoint is silent for longer than usual. It then sends the request to a successor
// too, if a retry is permitted and counted and a slot is free elsewhere. The send goes on
// until the successor has proved itself; if that fails, to its natural end.
type watchdog struct {
	front   *Front
	ctx     context.Context // of successors
	job     *job            // only what doesn't change during the send, or is safe for concurrent use, may be read
	watched *exchange
	request pick.Request // for the successor

	mu          sync.Mutex
	timer       *time.Timer
	stopped     bool
	avoid       map[string]bool   // endpoints that can't be the successor
	point       point             // after the last event
	lastEvent   time.Time         // or when the send began
	denied      hurdle            // why there was no successor at the last check
	reservation *pick.Reservation // for a slot elsewhere, while there is none
	successor   *exchange
	left        bool // whether the watched send was left for the successor
	relief      relief
}

// watchStall starts the watchdog of a send. It does nothing if the request is not
// repeatable, or is sent through another daemon, which watches it itself.
func (f *Front) watchStall(ctx context.Context, j *job, x *exchange) *watchdog {
	w := &watchdog{front: f, ctx: ctx, job: j, watched: x, point: j.stream.point, lastEvent: x.began, denied: j.denied}
	if !j.route.Repeatable() || x.slot.Peer {
		return w
	}
	w.relief.events = f.expectedEvents(j)
	w.request = j.placement()
	w.avoid = j.tries.avoid()
	w.avoid[x.slot.Endpoint.ID] = true
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(max(0, stallAfter-time.Since(x.began)), w.check)
	return w
}

// check sends the request to a successor if the endpoint is silent for too long, and so
// is the successor that there is. Without a slot it queues for one elsewhere. It schedules
// the next check.
func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	defer w.timer.Reset(stallRecheck)
	cause := w.overdue()
	if cause == "" {
		w.cancelReservation()
		return
	}
	if w.permitted() == allowed && w.awaitsSuccessor() {
		return
	}
	successor, decision, reason := w.takeOver()
	if reason == allowed {
		w.send(cause, successor)
		return
	}
	w.logDenied(cause, reason, decision)
	if reason != noSlot {
		w.cancelReservation()
	} else if w.reservation == nil {
		w.reserve()
	}
}

// reserve queues for a slot elsewhere. The lock must be held.
func (w *watchdog) reserve() {
	var reservation *pick.Reservation
	reservation = w.front.options.Placer.Reserve(w.successorRequest(), func(slot *pick.Slot) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.reservation == reservation {
			w.reservation = nil
		}
		w.granted(slot)
	})
	w.reservation = reservation
}

// granted takes a slot that was queued for, if it is still needed and the retry is
// still permitted. The lock must be held.
func (w *watchdog) granted(slot *pick.Slot) {
	cause := w.overdue()
	if w.stopped || cause == "" || w.awaitsSuccessor() || w.permitted() != allowed {
		slot.Cancel()
		return
	}
	if decision := slot.CountRetry(); !decision.Allowed {
		slot.Cancel()
		w.logDenied(cause, noBudget, decision)
		return
	}
	w.send(cause, slot)
}

// cancelReservation leaves the queue for a slot elsewhere. The lock must be held.
func (w *watchdog) cancelReservation() {
	if w.reservation != nil {
		w.reservation.Cancel()
		w.reservation = nil
	}
}

// overdue returns why a successor should be tried, or an empty text. The lock must be held.
func (w *watchdog) overdue() string {
	if w.job.outlet.isFull() {
		w.lastEvent = time.Now() // it is the caller that makes no progress
	}
	silent := time.Since(w.lastEvent)
	switch {
	case silent >= stallAfter && w.front.options.Reach.State() == reach.Cut:
		return "cut off from endpoints"
	case w.job.model == "":
		return "" // a plain answer may take any time
	}
	return overdue(w.watched.slot, silent)
}

// awaitsSuccessor reports whether there is a successor that isn't silent for too long. The
// lock must be held.
func (w *watchdog) awaitsSuccessor() bool {
	return w.successor != nil && (w.successor.slot.Peer || overdue(w.successor.slot, time.Since(w.successor.began)) == "")
}

// overdue returns why a send is silent for too long, or an empty text. This covers an
// endpoint that has stalled, and one that loses a single response while it goes on
// with others.
func overdue(slot *pick.Slot, silent time.Duration) string {
	switch {
	case silent < stallAfter:
		return "" // an event has just arrived
	case slot.Stalled():
		return "no progress there"
	case silent >= slot.Patience():
		return "no progress of this request"
	}
	return ""
}

// permitted returns allowed if a retry is permitted now, but for the budget and a slot.
func (w *watchdog) permitted() hurdle {
	j := w.job
	all, ran := j.tries.counts()
	switch {
	case w.front.reached(ending):
		return stopping
	case ran >= j.route.Attempts:
		return noAttempts
	case all >= maxTries:
		return noTries
	case j.remaining() < minTakeover:
		return noTime
	case w.front.isStaleFor(j):
		return viewTooOld
	case w.front.options.Parts.Refused(j.parts) != "":
		return partRefused
	}
	return allowed
}

// takeOver returns a slot for a retry at another endpoint, or why there is none.
func (w *watchdog) takeOver() (*pick.Slot, pick.RetryDecision, hurdle) {
	if reason := w.permitted(); reason != allowed {
		return nil, pick.RetryDecision{}, reason
	}
	slot, decision := w.front.options.Placer.Successor(w.successorRequest())
	switch {
	case slot != nil:
		return slot, decision, allowed
	case !decision.Allowed:
		return nil, decision, noBudget
	}
	return nil, decision, noSlot
}

// successorRequest returns what the retry needs. The lock must be held.
func (w *watchdog) successorRequest() pick.Request {
	request := w.request
	request.Avoid = maps.Clone(w.avoid)
	request.Resumed = w.point.headSent
	return request
}

// logDenied logs why a silent send goes on, once for each reason in a row.
func (w *watchdog) logDenied(cause string, reason hurdle, decision pick.RetryDecision) {
	if reason == w.denied {
		return
	}
	w.denied = reason
	w.front.options.Log.Info("silent send goes on", append(w.fields(cause), "reason", reason.String(),
		"spent", decision.Used, "budget", decision.Limit, "left_ms", w.job.remaining().Milliseconds())...)
}

// fields returns the fields of a log line on the watched send.
func (w *watchdog) fields(cause string) []any {
	slot := w.watched.slot
	return []any{
		"id", w.job.id, "endpoint", slot.Endpoint.ID, "group", slot.Endpoint.State.Member.Group, "cause", cause,
		"silent_ms", time.Since(w.lastEvent).Milliseconds(), "usual_ms", slot.UsualSilence().Milliseconds(),
	}
}

// stop ends the checks. The lock must be held.
func (w *watchdog) stop() {
	w.stopped = true
	w.cancelReservation()
	if w.timer != nil {
		w.timer.Stop()
	}
}
