package front

import (
	"time"

	"clementinehead.example/chead/pick"
	"clementinehead.example/chead/site"
)

// A stream whose endpoint has become slow may not end before its deadline, although events
// keep coming. It then goes on at another endpoint, as long as that can still end it in time.

const (
	reliefEvents  = 4                      // events of a send from which its pace is known
	reliefFactor  = 2                      // multiple of the usual interval between events from which an endpoint is left
	reliefReserve = 0.8                    // part of the remaining time in which another endpoint must be able to end the stream
	reliefWait    = time.Second            // longest time for which the watched send waits for the successor's first event
	reliefPause   = 200 * time.Millisecond // between two looks
)

// tooSlow is the cause of a search for an endpoint that ends the stream in time.
const tooSlow = "too slow for the deadline"

// outlook is what is expected of a stream in progress.
type outlook struct {
	left      int           // events that are still to come
	interval  time.Duration // between its events so far
	usual     time.Duration // between events at the endpoints of its model
	first     time.Duration // until the first event of another send
	remaining time.Duration // until its deadline
}

// late reports whether the stream can't end in time where it is, but can elsewhere.
func (o outlook) late() bool {
	here := time.Duration(o.left) * o.interval
	elsewhere := o.first + time.Duration(o.left)*o.usual
	slow := o.usual > 0 && o.interval >= reliefFactor*o.usual
	return slow && here > o.remaining && elsewhere <= time.Duration(reliefReserve*float64(o.remaining))
}

// expectedEvents returns the events that a stream is expected to have, 0 if that isn't known.
func (f *Front) expectedEvents(j *job) int {
	c := f.options.Snapshot().Config
	if j.route.Repeat != site.Streaming || c == nil || c.Services[j.service].Engine == nil {
		return 0
	}
	stride := max(1, c.Services[j.service].Engine.Stride)
	return (j.size.Expected() + stride - 1) / stride
}

// relief is the search of a watched send for a successor that ends its stream in time.
type relief struct {
	events  int       // that the stream is expected to have, 0 if that isn't known
	first   time.Time // when the first event of the send came
	count   int       // events of the send
	notYet  time.Time // no search before
	pending *exchange // the successor that was found; nil once it has proved itself or failed
}

// note counts an event and reports whether a successor is to be searched for.
func (r *relief) note(now time.Time, j *job, slot *pick.Slot) bool {
	r.count++
	if r.count == 1 {
		r.first = now
	}
	if j.outlet.isSplit() { // the times are those of a slow caller
		return false
	}
	if r.events == 0 || r.count <= reliefEvents || now.Before(r.notYet) || r.pending != nil {
		return false
	}
	r.notYet = now.Add(reliefPause)
	usual, first := slot.Usual()
	return outlook{
		left: r.events - int(j.progress.events.Load()) - 1, interval: now.Sub(r.first) / time.Duration(r.count-1),
		usual: usual, first: first, remaining: j.remaining(),
	}.late()
}

// relieve sends the rest of the stream to a successor, if a retry is permitted and a slot is
// free elsewhere. The lock must be held.
func (w *watchdog) relieve() {
	successor, decision, reason := w.takeOver()
	if reason != allowed {
		w.logDenied(tooSlow, reason, decision)
		return
	}
	w.send(tooSlow, successor)
	w.relief.pending = w.successor
}

// awaitRelief waits until the successor of a send that is too slow has proved itself or
// failed, since what the watched send delivers meanwhile can't be passed on if the successor
// goes on from before it. The lock must be held; it is released meanwhile.
func (w *watchdog) awaitRelief() {
	pending := w.relief.pending
	if pending == nil {
		return
	}
	w.mu.Unlock()
	timeout := time.NewTimer(min(reliefWait, w.job.remaining()))
	defer timeout.Stop()
	select {
	case <-pending.decided:
	case <-timeout.C:
	case <-w.ctx.Done():
	}
	w.mu.Lock()
	w.relief.pending = nil
	w.relief.notYet = time.Now().Add(reliefWait)
}
