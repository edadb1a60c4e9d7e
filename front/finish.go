package front

import (
	"errors"
	"net/http"

	"clementinehead.example/chead/pick"
)

// deliver sends an endpoint's response to the caller.
func (f *Front) deliver(j *job, resp response) {
	h := j.w.Header()
	for name, values := range resp.header {
		h[name] = values
	}
	h.Del("Content-Length")
	f.markLast(h)
	j.w.WriteHeader(resp.status)
	if err := j.writeAnswer(resp.body); err != nil {
		f.logEnd(j, "cut", resp.status, j.cutReason("caller left"))
		return
	}
	f.options.Crashes.Clear(j.digest)
	if resp.status < http.StatusMultipleChoices {
		f.options.Parts.Survived(j.parts)
	}
	f.logEnd(j, "served", resp.status, "")
}

// finish sends the caller the final response after the last try, which did not
// answer it. It aborts a stream of which the caller has a part, and the connection of a
// caller that has left.
func (f *Front) finish(j *job, err error) {
	j.successors.Wait() // those that were given up
	last := j.tries.kept()
	_, ran := j.tries.counts()
	switch {
	case j.stream.headSent && f.reached(ending):
		f.logEnd(j, "cut", http.StatusOK, stopReason)
		panic(http.ErrAbortHandler)
	case j.stream.headSent:
		f.logEnd(j, "cut", http.StatusOK, j.cutReason("stream not finished"))
		panic(http.ErrAbortHandler) // the caller must see that the stream is incomplete
	case last.status != 0:
		f.deliver(j, last)
	case j.left() && !f.reached(ending): // a stop may end the context too
		f.logEnd(j, "left", 0, "caller left")
		panic(http.ErrAbortHandler) // the server would send an empty success
	case f.reached(ending) && ran > 0:
		f.refuse(j, &refusal{status: http.StatusBadGateway, reason: stopReason})
	case f.reached(ending):
		f.refuse(j, &refusal{http.StatusServiceUnavailable, stopReason, defaultRetryAfter, true})
	case ran > 0 && j.noRoom.Load():
		f.refuse(j, &refusal{status: http.StatusBadGateway, reason: errNoRoom.Error()})
	case ran > 0 && j.remaining() <= minRemaining:
		f.refuse(j, &refusal{status: http.StatusGatewayTimeout, reason: "no answer in time"})
	case ran > 0:
		f.refuse(j, &refusal{status: http.StatusBadGateway, reason: "the endpoint broke off"})
	default:
		f.refuse(j, refusalFor(err))
	}
}

// refusalFor returns the refusal of a request that has not run. The argument is the
// error of the last try, or nil if endpoints refused it.
func refusalFor(err error) *refusal {
	r := &refusal{http.StatusServiceUnavailable, "endpoints refused it", defaultRetryAfter, false}
	var refused *pick.Error
	if errors.As(err, &refused) {
		r.reason = refused.Kind.String()
		r.retryAfter = refused.RetryAfter
	}
	if errors.Is(err, errStale) {
		r.reason = errStale.Error()
		r.elsewhere = true
	}
	if errors.Is(err, errPart) {
		r.reason = errPart.Error()
		r.retryAfter = 0
	}
	return r
}
