package front

import (
	"strconv"

	"clementinehead.example/chead/conns"
	"clementinehead.example/chead/pick"
	"clementinehead.example/chead/platform"
)

// sendRecord is what the log says of a request's last send.
type sendRecord struct {
	served   int    // requests that the connection carried before
	answerID string // the request that the answer names, if that is another one
}

// noteAnswer logs and counts an answer that names another request than the one that
// was sent.
func (f *Front) noteAnswer(j *job, slot *pick.Slot, resp *conns.Response) {
	id := resp.Header.Get(platform.HeaderRequest)
	if id == j.id {
		return
	}
	j.lastSend.answerID = id
	connection := "new"
	if j.lastSend.served > 0 {
		connection = "reused"
	}
	f.options.Metrics.otherAnswers.WithLabelValues(connection, strconv.Itoa(resp.StatusCode)).Inc()
	f.options.Log.Info("answer names another request", "id", j.id, "endpoint", slot.Endpoint.ID,
		"answer_id", id, "status", resp.StatusCode, "served", j.lastSend.served)
}
