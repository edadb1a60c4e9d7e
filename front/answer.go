package front

import (
	"errors"
	"strconv"
	"strings"

	"clementinehead.example/chead/platform"
)

// maxLateAnswers is the number of answers to other requests that are passed over.
const maxLateAnswers = 8

// errOtherAnswer is the error of a send whose answer is, or may be, to another request.
var errOtherAnswer = errors.New("another request's answer")

// sendRecord is what the log says of the connection of a send and of its answer.
type sendRecord struct {
	served   int    // requests that the connection carried before
	answerID string // the request that the answer names, if that is another one
}

// needsNewConnection reports whether a request may not use a kept connection: one that
// can't be repeated, since such a connection may fail without telling whether the
// request ran, and one without an id, since an answer on it may be an earlier request's.
func (j *job) needsNewConnection() bool { return !j.route.Repeatable() || j.id == "" }

// ownAnswer makes the response the answer to the request that was sent, by its id. It
// passes over late answers to requests that the connection carried before. The error is
// errOtherAnswer, or that of the connection.
func (x *exchange) ownAnswer() error {
	id, resp := x.job.id, x.resp
	for range maxLateAnswers {
		named := strings.Join(resp.Header.Values(platform.HeaderRequest), ",")
		if named == id || x.record.served == 0 && mayBeOwn(id, named, resp.StatusCode) {
			return nil
		}
		x.noteOther(named, resp.StatusCode)
		if x.record.served == 0 || named == "" {
			return errOtherAnswer
		}
		if err := resp.Next(responseLimit); err != nil {
			return err
		}
	}
	return errOtherAnswer
}

// mayBeOwn reports whether the first answer on a new connection, which names another
// request or none, is accepted: where the caller gave no id, and a failure without one,
// as endpoints refuse a request before they have read it.
func mayBeOwn(id, named string, status int) bool {
	return id == "" || named == "" && status >= 400
}

// noteOther logs and counts an answer that names another request, or none.
func (x *exchange) noteOther(named string, status int) {
	x.record.answerID = named
	connection := "new"
	if x.record.served > 0 {
		connection = "reused"
	}
	x.front.options.Metrics.otherAnswers.WithLabelValues(connection, strconv.Itoa(status)).Inc()
	x.front.options.Log.Info("answer names another request", "id", x.job.id, "endpoint", x.slot.Endpoint.ID,
		"answer_id", named, "status", status, "served", x.record.served)
}
