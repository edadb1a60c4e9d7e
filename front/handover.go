package front

import (
	"time"

	"clementinehead.example/chead/pick"
)

// send sends the request to a successor, which replaces one that is silent as well. The
// lock must be held.
func (w *watchdog) send(cause string, slot *pick.Slot) {
	w.cancelReservation()
	w.giveUp("silent as well")
	x := w.front.begin(w.ctx, w.job, slot, w.point)
	x.takesOver = true
	x.decided = make(chan struct{})
	w.successor = x
	w.avoid[slot.Endpoint.ID] = true
	w.front.options.Metrics.retries.WithLabelValues(unknown.String()).Inc()
	line := "endpoint stands still"
	if cause == tooSlow {
		line = "stream too slow"
	}
	w.front.options.Log.Info(line, append(w.fields(cause), "successor", slot.Endpoint.ID)...)
	w.job.successors.Go(func() {
		x.open()
		w.decide(x)
	})
}

// decide leaves the watched send for a successor that has proved itself. The watched send
// goes on if the successor failed.
func (w *watchdog) decide(x *exchange) {
	defer close(x.decided)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case x.givenUp.Load():
		x.end(x.abandoned())
	case w.successor != x: // the handler goes on with it
	case !x.proved():
		w.successor = nil
		x.end(x.failure())
	default:
		w.left = true
		w.stop()
		w.logSuccessor("successor takes over", x, "")
		w.watched.stop()
	}
}

// proved reports whether an exchange has an answer for which another one may be left.
func (x *exchange) proved() bool {
	return x.result == answered && (x.reader != nil || x.answer.status < 300)
}

// abandoned returns the result of an exchange that was given up.
func (x *exchange) abandoned() result {
	if x.result == notRun || x.result == disconnected {
		return x.result
	}
	return x.fail(unknown, "given up", nil)
}

// failure returns the result of an exchange that has not proved itself.
func (x *exchange) failure() result {
	if x.result != answered {
		return x.result
	}
	x.job.tries.keep(x.answer)
	return failed
}

// giveUp breaks off the successor, if any. The lock must be held.
func (w *watchdog) giveUp(cause string) {
	x := w.successor
	if x == nil {
		return
	}
	w.successor = nil
	x.givenUp.Store(true)
	x.stop()
	w.logSuccessor("successor given up", x, cause)
}

// logSuccessor logs what becomes of a successor.
func (w *watchdog) logSuccessor(line string, x *exchange, cause string) {
	w.front.options.Log.Info(line, "id", w.job.id, "endpoint", w.watched.slot.Endpoint.ID, "successor", x.slot.Endpoint.ID,
		"cause", cause, "elapsed_ms", time.Since(x.began).Milliseconds(), "left_ms", w.job.remaining().Milliseconds())
}

// accept records the arrival of an event, which is to be forwarded, and gives up the
// successor if it has content: it would go on from an earlier point. It reports false if the watched send
// was left.
func (w *watchdog) accept(e event) bool {
	arrived := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.content {
		w.lastEvent = arrived
	}
	w.awaitRelief()
	if w.left {
		return false
	}
	if !e.content {
		return true // no progress
	}
	w.giveUp("the watched send goes on")
	if !w.point.headSent {
		w.point.kind = mediaType(w.watched.resp.Header)
	}
	w.point = w.point.after(e)
	w.lastEvent = time.Now()
	if w.timer == nil {
		return true
	}
	w.timer.Reset(stallAfter)
	if w.relief.note(arrived, w.job, w.watched.slot) {
		w.relieve()
	}
	return true
}

// settle ends the checks and the successor, as the watched send has the end of its answer.
// It reports false if the send was left.
func (w *watchdog) settle() bool {
	w.mu.Lock()
	left := w.left
	if !left {
		w.stop()
		w.giveUp("the watched send has ended")
	}
	w.mu.Unlock()
	if !left {
		w.job.successors.Wait() // so that what it came to is known and logged
	}
	return !left
}

// inherit ends the checks as the watched send has ended. It returns the successor, if
// any, and whether it has proved itself.
func (w *watchdog) inherit() (*exchange, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stop()
	x := w.successor
	w.successor = nil
	w.job.denied = w.denied
	return x, w.left
}
