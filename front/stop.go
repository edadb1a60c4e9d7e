package front

import (
	"net/http"
	"time"
)

// phase is how far the shutdown of the daemon has gone. Phases only advance.
type phase int32

const (
	serving  phase = iota
	leaving        // each response closes its connection
	refusing       // a request that isn't in progress yet is refused
	ending         // nothing more is sent to endpoints
)

// stopReason is the reason of refusals and cuts due to the shutdown.
const stopReason = "daemon stops"

// Leave makes each further response close its connection, so that callers connect to
// another daemon.
func (f *Front) Leave() { f.phase.Store(int32(leaving)) }

// Refuse makes Front refuse requests that it has not read whole yet. They have not run
// and never will.
func (f *Front) Refuse() { f.phase.Store(int32(refusing)) }

// Answer makes Front answer the requests in progress of whose response the caller has
// nothing: as not run, or as failed where an endpoint may have run them.
func (f *Front) Answer() {
	f.phase.Store(int32(ending))
	for _, j := range f.jobs.list() {
		if !j.progress.headSent.Load() {
			j.end()
		}
	}
}

// Cut ends all requests in progress. Their callers see that a stream is not complete.
func (f *Front) Cut() {
	f.phase.Store(int32(ending))
	for _, j := range f.jobs.list() {
		j.end()
	}
}

// reached reports whether the shutdown is in a phase or beyond it.
func (f *Front) reached(p phase) bool { return f.phase.Load() >= int32(p) }

// admitUnlessStopped admits a request as admit does, unless the shutdown has gone too
// far when it comes, or when its body has been read.
func (f *Front) admitUnlessStopped(j *job) *refusal {
	if !f.reached(refusing) {
		if refused := f.admit(j); refused != nil && !f.reached(refusing) {
			return refused
		}
	}
	if !f.reached(refusing) {
		return nil
	}
	j.unlogged = f.refused.Add(1) > maxProgressLines // callers may come again at once, and the log's rate is limited
	return &refusal{http.StatusServiceUnavailable, stopReason, defaultRetryAfter, true}
}

// Refused returns the number of requests that were refused since they came too late in
// the shutdown. The first maxProgressLines of them are in the log.
func (f *Front) Refused() int64 { return f.refused.Load() }

// markLast makes a response close its connection if the daemon leaves.
func (f *Front) markLast(h http.Header) {
	if f.reached(leaving) {
		h.Set("Connection", "close")
	}
}

// end cancels the sends of a request, or the reading of its body.
func (j *job) end() {
	if cancel := j.progress.cancel.Load(); cancel != nil {
		(*cancel)()
		return
	}
	_ = http.NewResponseController(j.w).SetReadDeadline(time.Now()) // fails only without a connection
}
