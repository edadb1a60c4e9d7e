package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/once"
)

// errCaller is the cause of an error that a caller's own connection brought
// about.
var errCaller = errors.New("the caller's connection failed")

// maxGaps bounds the number of times between tokens that are kept for one
// request.
const maxGaps = 512

// answer is the way to one caller: events as they come, or one value when it
// is whole. It holds one event at a time for a stream, so that a slow caller
// costs no memory; one that takes nothing within limit is cut off.
type answer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	id      string
	stream  bool
	begun   bool // headers are written
	gone    bool // the caller's connection failed
	limit   time.Duration
	whole   *whole        // of an answer that isn't a stream
	kept    *bytes.Buffer // of a not-repeatable request, up to once.MaxKept and a little
	event   []byte
	times   times
}

// times are what the report says of an answer's pace.
type times struct {
	accepted time.Time
	first    time.Duration
	last     time.Time
	gaps     []time.Duration
	tokens   int
}

// note counts a token.
func (t *times) note() {
	now := time.Now()
	t.tokens++
	if t.tokens == 1 {
		t.first = now.Sub(t.accepted)
	} else if len(t.gaps) < maxGaps {
		t.gaps = append(t.gaps, now.Sub(t.last))
	}
	t.last = now
}

func newAnswer(w http.ResponseWriter, j *job, gap time.Duration) *answer {
	a := &answer{
		w:       w,
		control: http.NewResponseController(w),
		id:      j.id,
		stream:  j.prompt.stream,
		limit:   gap,
		whole:   &whole{},
		times:   times{accepted: j.accepted},
	}
	if j.once {
		a.kept = &bytes.Buffer{}
	}
	return a
}

// restart forgets what came of a run that is made again. It may be called
// only while nothing was sent.
func (a *answer) restart() {
	a.whole = &whole{}
	a.times = times{accepted: a.times.accepted}
}

// add takes the next chunk.
func (a *answer) add(chunk engine.Chunk) error {
	if isToken(chunk.Data) {
		a.times.note()
	}
	if !a.stream {
		return a.whole.add(chunk.Data)
	}
	a.event = append(a.event[:0], "id: "...)
	a.event = strconv.AppendInt(a.event, int64(chunk.Offset), 10)
	a.event = append(a.event, '\n')
	return a.data(chunk.Data)
}

// isToken tells an event that brings a token from one that only tells of the
// usage.
func isToken(data []byte) bool { return !bytes.Contains(data, []byte(`"choices":[]`)) }

// data ends the event that is being made with its data, line by line, and
// sends it.
func (a *answer) data(data []byte) error {
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

// finish ends a whole answer.
func (a *answer) finish() error {
	if a.stream {
		a.event = a.event[:0]
		return a.data([]byte("[DONE]"))
	}
	body, err := a.whole.body()
	if err != nil {
		return err
	}
	a.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	return a.send(body)
}

// send writes bytes of the answer and waits until the caller's connection has
// taken them.
func (a *answer) send(data []byte) error {
	a.keep(data)
	if a.gone {
		return errCaller
	}
	a.begin()
	_ = a.control.SetWriteDeadline(time.Now().Add(a.limit)) // in-memory writers have none
	if _, err := a.w.Write(data); err != nil {
		a.gone = true
		return errors.Join(errCaller, err)
	}
	if err := a.control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		a.gone = true
		return errors.Join(errCaller, err)
	}
	return nil
}

func (a *answer) keep(data []byte) {
	if a.kept != nil && a.kept.Len() <= once.MaxKept {
		a.kept.Write(data)
	}
}

func (a *answer) begin() {
	if a.begun {
		return
	}
	a.begun = true
	h := a.w.Header()
	h.Set("Content-Type", a.media())
	h.Set("Cache-Control", "no-store")
	a.w.WriteHeader(http.StatusOK)
}

func (a *answer) media() string {
	if a.stream {
		return "text/event-stream"
	}
	return "application/json"
}

// end finishes an answer, or tells the caller of an error. It returns the
// error that stands in the counts.
func (a *answer) end(err *Error) *Error {
	if err == errReplayed {
		return err
	}
	if err != nil {
		a.fail(err)
	}
	return err
}

// fail tells the caller of an error: as the whole answer, or as the last event
// of a stream that has begun. No end follows such an event.
func (a *answer) fail(err *Error) {
	if !a.begun {
		refuse(a.w, err, a.id)
		return
	}
	text, failed := json.Marshal(refusal(err, a.id))
	if failed != nil {
		return
	}
	a.event = append(a.event[:0], "event: error\n"...)
	_ = a.data(text) // the caller may be gone
}

// record returns the answer as it is kept for later attempts.
func (a *answer) record() once.Answer {
	return once.Answer{Status: http.StatusOK, Type: a.media(), Body: a.kept.Bytes()}
}
