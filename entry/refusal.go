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

// Reason says what became of a request that was not served.
type Reason struct {
	Code    string        `json:"code"` // name of a Code
	Type    string        `json:"type"` // as clients of OpenAI's format know it
	Message string        `json:"message"`
	Ran     string        `json:"ran"`             // "no", "unknown" or "yes"
	Retry   conf.Duration `json:"retry,omitempty"` // when coming back helps
	Request string        `json:"request,omitempty"`
}

// refusal returns what a caller is told of an error.
func refusal(err *Error, id string) Refusal {
	m := meanings[err.Kind]
	message := m.text
	if err.Err != nil && (m.status < http.StatusInternalServerError || err.Kind == Unready) {
		message += ": " + err.Err.Error()
	}
	return Refusal{Error: Reason{
		Code:    err.Kind.String(),
		Type:    m.kind,
		Message: message,
		Ran:     strings.ToLower(err.Ran.String()),
		Retry:   conf.Duration(err.Retry),
		Request: id,
	}}
}

// refuse writes a refusal as the whole answer.
func refuse(w http.ResponseWriter, err *Error, id string) {
	writable(w)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerRan, strings.ToLower(err.Ran.String()))
	if err.Retry > 0 {
		h.Set("Retry-After", seconds(err.Retry))
	}
	if err.Kind == BadKey {
		h.Set("WWW-Authenticate", "Bearer")
	}
	body, failed := json.Marshal(refusal(err, id))
	if failed != nil {
		body = []byte("{}")
	}
	h.Set("Content-Length", strconv.Itoa(len(body)+1))
	w.WriteHeader(meanings[err.Kind].status)
	_, _ = w.Write(append(body, '\n')) // nobody is left to tell
}

// seconds rounds a duration up to whole seconds.
func seconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// maxWrite bounds how long a caller may take for a short answer.
const maxWrite = 10 * time.Second

// writable sets the limit on writing a short answer.
func writable(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(maxWrite)) // in-memory writers have none
}
