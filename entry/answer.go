package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"clementinehead.example/chead/bound"
	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/once"
)

// errCallerConn is the cause of an error of the caller's own connection.
var errCallerConn = errors.New("the caller's connection failed")

// maxGaps bounds the times between tokens that are kept for one request.
const maxGaps = 512

// answer writes the answer to one caller: a stream, event by event, or one JSON
// value when it is complete. For a stream it holds one event at a time, so that
// a slow caller costs no memory. A caller that accepts no data within
// writeTimeout is disconnected.
type answer struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	id           string
	stream       bool
	started      bool // the header was written
	disconnected bool // the caller's connection failed
	writeTimeout time.Duration
	assembler    *assembler    // of an answer that isn't streamed
	recorded     *bytes.Buffer // copy for later attempts, up to once.MaxAnswerBody bytes and the rest of one write; nil for a repeatable request
	event        []byte        // buffer of the event that is being built
	timing       timing
}

// timing holds the times of an answer for the usage report.
type timing struct {
	accepted time.Time       // acceptance of the request
	first    time.Duration   // from acceptance to the first token
	last     time.Time       // time of the last token
	gaps     []time.Duration // between tokens, the first maxGaps of them
	tokens   int
}

// countToken counts a token and takes its time.
func (t *timing) countToken() {
	now := time.Now()
	t.tokens++
	if t.tokens == 1 {
		t.first = now.Sub(t.accepted)
	} else if len(t.gaps) < maxGaps {
		t.gaps = append(t.gaps, now.Sub(t.last))
	}
	t.last = now
}

// newAnswer returns the answer to a request. Its release must be called in the end.
func newAnswer(w http.ResponseWriter, j *job, writeTimeout time.Duration, budget *bound.Budget) *answer {
	a := &answer{
		w:            w,
		control:      http.NewResponseController(w),
		id:           j.id,
		stream:       j.completion.stream,
		writeTimeout: writeTimeout,
		assembler:    &assembler{budget: budget},
		timing:       timing{accepted: j.accepted},
	}
	if j.atMostOnce {
		a.recorded = &bytes.Buffer{}
	}
	return a
}

// reset discards the output of a dispatch before the next one. It may be called
// only before the header was written.
func (a *answer) reset() {
	a.assembler.release()
	a.timing = timing{accepted: a.timing.accepted}
}

// add appends the next chunk. For a stream it is sent at once.
func (a *answer) add(chunk engine.Chunk) error {
	if isToken(chunk.Data) {
		a.timing.countToken()
	}
	if !a.stream {
		return a.assembler.addEvent(chunk.Data)
	}
	a.event = append(a.event[:0], "id: "...)
	a.event = strconv.AppendInt(a.event, int64(chunk.Offset), 10)
	a.event = append(a.event, '\n')
	return a.sendEvent(chunk.Data)
}

// isToken reports whether an event carries a token. The one that carries the
// usage has an empty list of choices.
func isToken(data []byte) bool { return !bytes.Contains(data, []byte(`"choices":[]`)) }

// sendEvent completes the event in a.event with its data, line by line, and
// sends it.
func (a *answer) sendEvent(data []byte) error {
	for more := true; more; {
		var line []byte
		line, data, more = bytes.Cut(data, []byte("\n"))
		a.event = append(a.event, "data: "...)
		a.event = append(a.event, line...)
		a.event = append(a.event, '\n')
	}
	a.event = append(a.event, '\n')
	return a.send(a.event)
}

// finish ends a complete answer.
func (a *answer) finish() error {
	if a.stream {
		a.event = a.event[:0]
		return a.sendEvent([]byte("[DONE]"))
	}
	body, err := a.assembler.body()
	if err != nil {
		return err
	}
	a.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	return a.send(body)
}

// send writes a part of the answer and waits until the caller's connection has
// accepted it.
func (a *answer) send(data []byte) error {
	a.copyToRecord(data)
	if a.disconnected {
		return errCallerConn
	}
	a.writeHeader()
	_ = a.control.SetWriteDeadline(time.Now().Add(a.writeTimeout)) // in-memory writers have none
	if _, err := a.w.Write(data); err != nil {
		a.disconnected = true
		return errors.Join(errCallerConn, err)
	}
	if err := a.control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		a.disconnected = true
		return errors.Join(errCallerConn, err)
	}
	return nil
}

// copyToRecord appends data to the recorded copy, where there is one.
func (a *answer) copyToRecord(data []byte) {
	if a.recorded != nil && a.recorded.Len() <= once.MaxAnswerBody {
		a.recorded.Write(data)
	}
}

// writeHeader writes the header of a successful answer once.
func (a *answer) writeHeader() {
	if a.started {
		return
	}
	a.started = true
	h := a.w.Header()
	h.Set("Content-Type", a.contentType())
	h.Set("Cache-Control", "no-store")
	a.w.WriteHeader(http.StatusOK)
}

func (a *answer) contentType() string {
	if a.stream {
		return "text/event-stream"
	}
	return "application/json"
}

// finishWith sends an error, where there is one, to the caller, and returns the
// error under which the request is counted.
func (a *answer) finishWith(err *Error) *Error {
	if err == errReplayed {
		return err
	}
	if err != nil {
		a.sendError(err)
	}
	return err
}

// sendError sends an error: as the whole answer, or as the last event of a
// stream that has started. The event [DONE] doesn't follow.
func (a *answer) sendError(err *Error) {
	if !a.started {
		refuse(a.w, err, a.id)
		return
	}
	text, failed := json.Marshal(newRefusal(err, a.id))
	if failed != nil {
		return
	}
	a.event = append(a.event[:0], "event: error\n"...)
	_ = a.sendEvent(text) // the caller may have disconnected
}

// recordedAnswer returns the answer as it is recorded for later attempts.
func (a *answer) recordedAnswer() once.Answer {
	return once.Answer{Status: http.StatusOK, Type: a.contentType(), Body: a.recorded.Bytes()}
}
