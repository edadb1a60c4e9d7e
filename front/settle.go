package front

import (
	"errors"
	"net/http"

	"clementinehead.example/chead/pick"
)

// deliver passes an endpoint's answer to the caller.
func (f *Front) deliver(j *job, a *answer) {
	h := j.w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	h.Del("Content-Length")
	j.w.WriteHeader(a.status)
	if _, err := j.w.Write(a.body); err != nil {
		f.note(j, "cut", a.status, "caller left")
		return
	}
	f.options.Strikes.Clear(j.digest)
	f.note(j, "served", a.status, "")
}

// settle gives the final answer after the last send.
func (f *Front) settle(j *job, last *answer, err error) {
	switch {
	case j.stream.begun:
		f.note(j, "cut", http.StatusOK, "stream not finished")
		panic(http.ErrAbortHandler) // the caller sees that the stream isn't whole
	case last.status != 0:
		f.deliver(j, last)
	case j.r.Context().Err() != nil:
		f.note(j, "left", 0, "caller left")
	case j.ran > 0 && j.left() <= leastLeft:
		f.refuse(j, &refusal{status: http.StatusGatewayTimeout, reason: "no answer in time"})
	case j.ran > 0:
		f.refuse(j, &refusal{status: http.StatusBadGateway, reason: "the endpoint broke off"})
	default:
		f.refuse(j, unplaced(err))
	}
}

// unplaced is the refusal of a request that has not run.
func unplaced(err error) *refusal {
	r := &refusal{http.StatusServiceUnavailable, "endpoints refused it", staleRetry}
	var full *pick.Error
	if errors.As(err, &full) {
		r.reason = full.Kind.String()
		r.after = full.After
	}
	if errors.Is(err, errStale) {
		r.reason = errStale.Error()
	}
	return r
}
