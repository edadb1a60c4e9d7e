package front

import (
	"errors"
	"net/http"
	"os"
	"time"

	"clementinehead.example/chead/hold"
	"clementinehead.example/chead/site"
)

// restTime is how long the server may read on in the body of a refused request, before it
// sends the refusal and closes the connection.
const restTime = 500 * time.Millisecond

// readBody reads the request's body, up to the configured limit and until the deadline. What
// it takes counts as held by the request.
func (f *Front) readBody(j *job, limits site.Limits) *refusal {
	limit := limits.Body
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	j.share = f.options.Hold.Open(j.deadline, func(why hold.Reason) { f.evict(j, why) })
	f.setReadDeadline(j, j.deadline)
	body, err := f.readHeld(j, hold.Request, http.MaxBytesReader(j.w, j.r.Body, limit), j.r.ContentLength, limit)
	if errors.Is(err, os.ErrDeadlineExceeded) && j.remaining() <= 0 {
		return &refusal{status: http.StatusRequestTimeout, reason: "body not whole in time"}
	}
	f.setReadDeadline(j, time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge), errors.Is(err, errTooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	case errors.Is(err, errNoRoom):
		return &refusal{http.StatusServiceUnavailable, errNoRoom.Error(), defaultRetryAfter, true}
	case err != nil:
		return &refusal{status: http.StatusBadRequest, reason: "body not whole"}
	}
	j.body = body
	j.digest = digest(j)
	return nil
}

// setReadDeadline sets until when the body of a request is read, zero for no end. One that
// Answer or Cut has set stays.
func (f *Front) setReadDeadline(j *job, t time.Time) {
	control := http.NewResponseController(j.w)
	_ = control.SetReadDeadline(t) // fails only without a connection
	if f.reached(ending) {
		_ = control.SetReadDeadline(time.Now())
	}
}
