package front

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"clementinehead.example/chead/conns"
	"clementinehead.example/chead/pick"
)

const (
	stallAfter   = 500 * time.Millisecond // silence after which the endpoint is checked
	stallRecheck = 100 * time.Millisecond // time between further checks
	minTakeover  = 500 * time.Millisecond // least remaining time in which another endpoint can take over
)

// watchdog watches a send for silence. While no event arrives, it checks whether the
// endpoint is silent for longer than usual. It breaks the send off only once it holds
// a successor: a slot at another endpoint, for a retry that is permitted and counted,
// and a connection to it. Until then, and in the last attempt, the send goes on to its
// natural end.
type watchdog struct {
	front     *Front
	ctx       context.Context // of the send
	job       *job            // only what doesn't change during the send may be read
	slot      *pick.Slot
	conn      *conns.Conn
	request   pick.Request // for the successor
	ran       int          // tries that may have run, including this send
	tries     int
	start     time.Time    // when the watchdog began
	lastEvent atomic.Int64 // time of the last event, in nanoseconds after start
	timer     atomic.Pointer[time.Timer]

	mu          sync.Mutex
	stopped     bool
	denied      hurdle            // why there was no successor at the last check
	reservation *pick.Reservation // for a slot elsewhere, while there is none
	connecting  bool              // a connection to an endpoint elsewhere is being opened
	successor   *successor        // set once the send has been broken off
}

// watchStall starts the watchdog of a send over conn. It does nothing if the
// request is not repeatable or is not for a model.
func (f *Front) watchStall(ctx context.Context, j *job, slot *pick.Slot, conn *conns.Conn) *watchdog {
	w := &watchdog{front: f, ctx: ctx, job: j, slot: slot, conn: conn, ran: j.ran + 1, tries: len(j.tried), start: time.Now()}
	if !j.route.Repeatable() || j.model == "" {
		return w
	}
	w.request = j.placement()
	w.request.Avoid = maps.Clone(j.avoid)
	w.request.Avoid[slot.Endpoint.ID] = true
	j.watch = w
	w.timer.Store(time.AfterFunc(stallAfter, w.check))
	return w
}

// check breaks the send off if the endpoint is silent for too long and a successor
// is held. Without one it queues for a slot elsewhere, and schedules the next check.
func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.connecting || w.successor != nil {
		return
	}
	cause := w.overdue()
	if cause == "" {
		w.cancelReservation()
		w.reset(stallRecheck)
		return
	}
	slot, decision, reason := w.takeOver()
	if reason == allowed {
		w.connect(slot)
		return
	}
	w.logDenied(cause, reason, decision)
	if reason != noSlot {
		w.cancelReservation()
	} else if w.reservation == nil {
		w.reserve()
	}
	w.reset(stallRecheck)
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
	if w.stopped || w.connecting || w.successor != nil || cause == "" || w.permitted() != allowed {
		slot.Cancel()
		return
	}
	if decision := slot.CountRetry(); !decision.Allowed {
		slot.Cancel()
		w.logDenied(cause, noBudget, decision)
		return
	}
	w.connect(slot)
}

// leave breaks the send off for a successor. The lock must be held.
func (w *watchdog) leave(cause string, slot *pick.Slot, conn *conns.Conn) {
	w.successor = &successor{slot, conn}
	w.front.options.Log.Info("endpoint stands still", append(w.fields(cause), "successor", slot.Endpoint.ID)...)
	_ = w.conn.Close()
}

// cancelReservation leaves the queue for a slot elsewhere. The lock must be held.
func (w *watchdog) cancelReservation() {
	if w.reservation != nil {
		w.reservation.Cancel()
		w.reservation = nil
	}
}

// overdue returns why the send should be taken over, or an empty text. This covers an
// endpoint that has stalled, and one that loses a single response while it goes on
// with others.
func (w *watchdog) overdue() string {
	silent := w.silent()
	switch {
	case silent < stallAfter:
		return "" // an event has just arrived
	case w.slot.Stalled():
		return "no progress there"
	case silent >= w.slot.Patience():
		return "no progress of this request"
	}
	return ""
}

// permitted returns allowed if a retry is permitted now, but for the budget and a slot.
func (w *watchdog) permitted() hurdle {
	switch j := w.job; {
	case w.front.reached(ending):
		return stopping
	case w.ran >= j.route.Attempts:
		return noAttempts
	case w.tries >= maxTries:
		return noTries
	case j.remaining() < minTakeover:
		return noTime
	case w.front.isStaleFor(j):
		return viewTooOld
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

// successorRequest returns what the retry needs.
func (w *watchdog) successorRequest() pick.Request {
	request := w.request
	request.Resumed = request.Resumed || w.lastEvent.Load() > 0
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
	return []any{
		"id", w.job.id, "endpoint", w.slot.Endpoint.ID, "group", w.slot.Endpoint.State.Member.Group, "cause", cause,
		"silent_ms", w.silent().Milliseconds(), "usual_ms", w.slot.UsualSilence().Milliseconds(),
	}
}

// reset schedules the next check.
func (w *watchdog) reset(d time.Duration) {
	if timer := w.timer.Load(); timer != nil {
		timer.Reset(d)
	}
}

// silent returns the time since the last event, or since the start.
func (w *watchdog) silent() time.Duration {
	return time.Since(w.start) - time.Duration(w.lastEvent.Load())
}

// Stop ends the checks. The connection is not closed after it returns.
func (w *watchdog) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.cancelReservation()
	if timer := w.timer.Load(); timer != nil {
		timer.Stop()
	}
}

// Touch records the arrival of an event, and postpones the next check.
func (w *watchdog) Touch() {
	w.lastEvent.Store(int64(time.Since(w.start)))
	w.reset(stallAfter)
}

// take stops the watchdog and returns the successor if the send was broken off.
func (w *watchdog) take() *successor {
	if w == nil {
		return nil
	}
	w.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	successor := w.successor
	w.successor = nil
	return successor
}
