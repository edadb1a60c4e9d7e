package front

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"clementinehead.example/chead/conns"
	"clementinehead.example/chead/pick"
	"clementinehead.example/chead/platform"
)

// stream is how far a request's stream has come.
type stream struct {
	begun  bool   // the caller has its head
	last   string // id of the last event that the caller has
	next   int64  // id that the next event must have, where known
	passed int
	first  time.Duration // from arrival to the first event
	gap    time.Duration // the longest pause between two events, as they went to the caller
	at     time.Time     // of the last event
}

const (
	silenceFirst = 500 * time.Millisecond // without an event, the endpoint is looked at
	silenceNext  = 100 * time.Millisecond
	eventLimit   = 1 << 20 // bytes
	eventBuffer  = 2 << 10 // bytes
)

// silence watches over a send: while nothing comes it asks whether the endpoint
// stands still, and then breaks the send off, so that it can be made elsewhere,
// by this daemon or by the caller.
type silence struct {
	timer   atomic.Pointer[time.Timer]
	stopped atomic.Bool
	heard   atomic.Int64 // nanoseconds after began
	began   time.Time
}

func (f *Front) watch(j *job, place *pick.Place, conn *conns.Conn) *silence {
	s := &silence{began: time.Now()}
	if !j.route.Repeatable() || j.model == "" {
		return s
	}
	last := j.ran+1 >= j.route.Attempts
	s.timer.Store(time.AfterFunc(silenceFirst, func() {
		if s.stopped.Load() {
			return
		}
		if s.over(place, last) {
			f.options.Log.Info("endpoint stands still", "id", j.id, "endpoint", place.Endpoint.ID,
				"group", place.Endpoint.State.Member.Group, "silent_ms", s.silent().Milliseconds())
			_ = conn.Close()
			return
		}
		s.reset(silenceNext)
	}))
	return s
}

// over decides whether a silent send is broken off. It answers an endpoint that
// stands still, and one that loses single answers while it goes on with the
// others. The last send that a route allows is broken off only in the middle of
// a stream, which its caller can resume.
func (s *silence) over(place *pick.Place, last bool) bool {
	if last {
		return place.Stuck() && s.heard.Load() > 0
	}
	return place.Stuck() || s.silent() >= place.Patience()
}

// reset lets the watch look again after a while.
func (s *silence) reset(d time.Duration) {
	if timer := s.timer.Load(); timer != nil {
		timer.Reset(d)
	}
}

// silent returns how long nothing has come.
func (s *silence) silent() time.Duration {
	return time.Since(s.began) - time.Duration(s.heard.Load())
}

// Stop ends the watch.
func (s *silence) Stop() {
	s.stopped.Store(true)
	if timer := s.timer.Load(); timer != nil {
		timer.Stop()
	}
}

// Heard notes an event.
func (s *silence) Heard() {
	s.heard.Store(int64(time.Since(s.began)))
	s.reset(silenceFirst)
}

// pass passes a stream on, event by event. An event that is not whole is not
// passed on, so that a stream can go on behind the last one.
func (f *Front) pass(ctx context.Context, j *job, place *pick.Place, a *conns.Answer, silent *silence) result {
	if !platform.Signed(a.Header) {
		j.cause = "no signature"
		return f.ended(j, unknown)
	}
	reader := bufio.NewReaderSize(a.Body, eventBuffer)
	for {
		e, err := readEvent(reader)
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return f.close(j, a)
		}
		if err != nil {
			j.fail("stream cut short", err)
			f.crashed(j, place)
			return f.ended(j, unknown)
		}
		silent.Heard()
		place.Progress(true)
		if !j.stream.follows(e) {
			f.options.Log.Info("event out of order", "id", j.id, "endpoint", place.Endpoint.ID, "event", e.id, "expected", j.stream.next)
			j.cause = "event out of order"
			return f.ended(j, unknown)
		}
		if !f.forward(j, a, e) || ctx.Err() != nil {
			return f.ended(j, unknown)
		}
	}
}

// close ends a stream that is whole.
func (f *Front) close(j *job, a *conns.Answer) result {
	if !j.stream.begun {
		f.begin(j, a)
	}
	a.Ended()
	f.options.Strikes.Clear(j.digest)
	f.note(j, "served", a.StatusCode, "")
	return settled
}

// begin passes the head of a stream on.
func (f *Front) begin(j *job, a *conns.Answer) {
	h := j.w.Header()
	for name, values := range platform.Incoming(a.Header) {
		h[name] = values
	}
	h.Del("Content-Length")
	j.w.WriteHeader(a.StatusCode)
	j.stream.begun = true
	f.options.Metrics.first.Observe(time.Since(j.arrived).Seconds())
}

func (f *Front) forward(j *job, a *conns.Answer, e event) bool {
	if !j.stream.begun {
		f.begin(j, a)
	}
	if _, err := j.w.Write(e.raw); err != nil {
		return false
	}
	if err := http.NewResponseController(j.w).Flush(); err != nil {
		return false
	}
	j.stream.mark(j.arrived, time.Now())
	if e.id != "" {
		j.stream.last = e.id
		j.stream.next = e.number + 1
	}
	return true
}

// mark notes an event that went to the caller.
func (s *stream) mark(arrived, now time.Time) {
	if s.passed == 0 {
		s.first = now.Sub(arrived)
	} else {
		s.gap = max(s.gap, now.Sub(s.at))
	}
	s.at = now
	s.passed++
}

// follows reports whether an event is the next one of the stream.
func (s stream) follows(e event) bool { return s.next == 0 || e.id == "" || e.number == s.next }

// event is one event of a stream, with the empty line that ends it.
type event struct {
	raw    []byte
	id     string
	number int64
}

// readEvent reads one event. The error is io.EOF at the end of the stream, and
// io.ErrUnexpectedEOF where the stream ends inside an event.
func readEvent(r *bufio.Reader) (event, error) {
	var e event
	for {
		line, err := r.ReadSlice('\n')
		for errors.Is(err, bufio.ErrBufferFull) && len(e.raw) < eventLimit {
			e.raw = append(e.raw, line...)
			line, err = r.ReadSlice('\n')
		}
		e.raw = append(e.raw, line...)
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.raw) > 0 {
				return event{}, io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		if len(e.raw) > eventLimit {
			return event{}, errors.New("event too large")
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return e, nil
		}
		e.take(line)
	}
}

// take notes the id that a line holds.
func (e *event) take(line []byte) {
	value, found := bytes.CutPrefix(line, []byte("id:"))
	if !found {
		return
	}
	id := strings.TrimSpace(string(value))
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return
	}
	e.id = id
	e.number = number
}
