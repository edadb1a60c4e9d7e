package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"clementinehead.example/chead/conf"
)

// Refusal is the body of an answer to a request that was not served, and the
// data of the event that ends a stream early.
type Refusal struct {
	Error Reason `json:"error"`
}

// Reason says why a request was not served and whether it has run.
type Reason struct {
	Code    string        `json:"code"` // of a Code
	Type    string        `json:"type"` // error.type in OpenAI's format
	Message string        `json:"message"`
	Ran     string        `json:"ran"`             // whether the request has run: "no", "unknown" or "yes"
	Retry   conf.Duration `json:"retry,omitempty"` // time after which a retry may succeed
	Request string        `json:"request,omitempty"`
}

// newRefusal returns what a caller gets for an error. The cause of a failure on
// the daemon's side is left out, except that of NotReady.
func newRefusal(err *Error, id string) Refusal {
	m := meanings[err.Kind]
	message := m.text
	if err.Err != nil && (m.status < http.StatusInternalServerError || err.Kind == NotReady) {
		message += ": " + err.Err.Error()
	}
	return Refusal{Error: Reason{
		Code:    err.Kind.String(),
		Type:    m.errorType,
		Message: message,
		Ran:     strings.ToLower(err.Ran.String()),
		Retry:   conf.Duration(err.Retry),
		Request: id,
	}}
}

// refuse writes a refusal as the whole answer.
func refuse(w http.ResponseWriter, err *Error, id string) {
	setWriteDeadline(w)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerRan, strings.ToLower(err.Ran.String()))
	if err.Retry > 0 {
		h.Set("Retry-After", seconds(err.Retry))
	}
	if err.Kind == BadKey {
		h.Set("WWW-Authenticate", "Bearer")
	}
	body, failed := json.Marshal(newRefusal(err, id))
	if failed != nil {
		body = []byte("{}")
	}
	h.Set("Content-Length", strconv.Itoa(len(body)+1))
	w.WriteHeader(meanings[err.Kind].status)
	_, _ = w.Write(append(body, '\n')) // the caller may have disconnected
}

// seconds formats a duration in seconds, rounded up.
func seconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// shortWriteTimeout bounds how long a caller may take to accept a short answer.
const shortWriteTimeout = 10 * time.Second

// setWriteDeadline sets the deadline for writing a short answer.
func setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(shortWriteTimeout)) // in-memory writers have none
}
