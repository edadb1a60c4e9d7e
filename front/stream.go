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
	"time"

	"clementinehead.example/chead/conns"
	"clementinehead.example/chead/platform"
)

// stream is the progress of a request's event stream, over all its attempts.
type stream struct {
	point                    // after what was sent to the caller
	forwarded  int           // events sent to the caller
	first      time.Duration // from arrival to the first event
	longestGap time.Duration // longest time between two events sent to the caller
	lastTime   time.Time     // when the last event was sent to the caller
}

// point is a place in a stream.
type point struct {
	headSent bool   // the response's head comes before it
	kind     string // media type of the response, once its head was sent
	lastID   string // of the last event before it
	nextID   int64  // id that the next event must have, 0 if unknown
}

// after returns the point after the next event.
func (p point) after(e event) point {
	p.headSent = true
	if e.id != "" {
		p.lastID = e.id
		p.nextID = e.number + 1
	}
	return p
}

// precedes reports whether an event is the next one, as far as ids are known.
func (p point) precedes(e event) bool { return p.nextID == 0 || e.id == "" || e.number == p.nextID }

const (
	eventLimit      = 1 << 20  // bytes of one event
	eventBufferSize = 2 << 10  // bytes of the buffer for reading events
	idleLimit       = 64 << 10 // bytes without an event, such as empty lines and comments, after which a stream is broken off
)

// forwardStream forwards a stream to the caller, event by event. An incomplete
// event is not forwarded, so that the stream can be resumed after the last one.
func (f *Front) forwardStream(ctx context.Context, j *job, x *exchange) result {
	e, err := x.first, error(nil)
	switch {
	case x.empty:
		err = io.EOF
	case x.begun:
		e, err = x.next()
	}
	for {
		switch {
		case errors.Is(err, io.EOF):
			return f.endStream(j, x.resp)
		case err != nil && ctx.Err() != nil && j.outlet.isBehind():
			return x.fail(disconnected, "caller reads slowly", err)
		case err != nil:
			return f.orDisconnected(j, x.breaksOff("stream cut short", err))
		case !x.follows(j.stream.point, e):
			return f.orDisconnected(j, x.fail(unknown, "event out of order", nil))
		case !j.watch.accept(e):
			return f.orDisconnected(j, unknown)
		}
		switch f.forwardEvent(ctx, j, x, e) {
		case divided:
			return handedOn
		case lost:
			return x.fail(disconnected, "caller takes no more", nil)
		}
		if ctx.Err() != nil {
			return f.orDisconnected(j, unknown)
		}
		e, err = x.next()
	}
}

// endStream finishes a stream that is complete, unless its send was left for another one.
func (f *Front) endStream(j *job, resp *conns.Response) result {
	resp.MarkConsumed()
	if !j.watch.settle() {
		return f.orDisconnected(j, unknown)
	}
	if !j.stream.headSent {
		f.sendHead(j, resp)
	}
	f.options.Crashes.Clear(j.digest)
	f.options.Parts.Survived(j.parts)
	j.status = resp.StatusCode
	return answered
}

// sendHead sends the status and the header of a stream to the caller.
func (f *Front) sendHead(j *job, resp *conns.Response) {
	h := j.w.Header()
	for name, values := range platform.Incoming(resp.Header) {
		h[name] = values
	}
	h.Del("Content-Length")
	f.markLast(h)
	j.w.WriteHeader(resp.StatusCode)
	j.stream.headSent = true
	j.stream.kind = mediaType(resp.Header)
	j.progress.headSent.Store(true)
	f.options.Metrics.firstEvent.Observe(time.Since(j.arrived).Seconds())
}

// mediaType returns the type of a response's body without parameters, empty if none is
// stated.
func mediaType(h http.Header) string {
	kind, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(kind))
}

// eventStream is the media type of streams of events.
const eventStream = "text/event-stream"

// continues reports whether an answer may go on with a stream after a point: only a
// success does whose type is that of the first answer, or of streams, or whatever its
// endpoint has to say comes in the middle of the stream, or ends it as if it was complete.
func (x *exchange) continues(p point) bool {
	if !p.headSent || x.reader == nil {
		return !p.headSent
	}
	kind := mediaType(x.resp.Header)
	return kind == p.kind || kind == eventStream
}

// record updates the times and the count after an event was sent to the caller.
func (s *stream) record(arrived, now time.Time) {
	if s.forwarded == 0 {
		s.first = now.Sub(arrived)
	} else {
		s.longestGap = max(s.longestGap, now.Sub(s.lastTime))
	}
	s.lastTime = now
	s.forwarded++
}

// event is one server-sent event, or a comment. Raw includes the empty line that ends it
// and any before it.
type event struct {
	raw     []byte
	id      string
	number  int64
	content bool // it has an id or data
}

var (
	errLargeEvent = errors.New("event too large")
	errNoEvents   = errors.New("no events among many bytes")
)

// readEvent reads one event of at most eventLimit bytes. The error is io.EOF at
// the end of the stream, and io.ErrUnexpectedEOF if the stream ends within an
// event. Empty lines at the end of a stream are returned as an event without content. The
// function room reports whether there is room for more bytes of an event that is longer
// than the reader's buffer; if not, the error is errNoRoom.
func readEvent(r *bufio.Reader, room func(n int64) bool) (event, error) {
	var e event
	empty := true // there were only empty lines so far
	for {
		line, err := r.ReadSlice('\n')
		for errors.Is(err, bufio.ErrBufferFull) && len(e.raw) < eventLimit {
			if !e.grow(line, room) {
				return event{}, errNoRoom
			}
			empty = false
			line, err = r.ReadSlice('\n')
		}
		if !e.grow(line, room) {
			return event{}, errNoRoom
		}
		blank := len(bytes.TrimRight(line, "\r\n")) == 0
		empty = empty && blank
		switch {
		case errors.Is(err, io.EOF) && len(e.raw) > 0 && !empty:
			return event{}, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF) && len(e.raw) > 0:
			return e, nil
		case err != nil:
			return event{}, err
		case len(e.raw) > eventLimit:
			return event{}, errLargeEvent
		case empty && len(e.raw) > idleLimit:
			return event{}, errNoEvents
		case blank && !empty:
			return e, nil
		}
		e.parseLine(line)
	}
}

// grow appends bytes to an event, and reports whether there is room for them. Room is asked
// for only beyond eventBufferSize: a usual event is as small as the buffer that it is read to.
func (e *event) grow(more []byte, room func(n int64) bool) bool {
	before := cap(e.raw)
	if size := len(e.raw) + len(more); size > before && size > eventBufferSize {
		grown := max(size, 2*before)
		if !room(int64(grown - before)) {
			return false
		}
		e.raw = append(make([]byte, 0, grown), e.raw...)
	}
	e.raw = append(e.raw, more...)
	return true
}

// parseLine sets what a line of the event states.
func (e *event) parseLine(line []byte) {
	e.content = e.content || bytes.HasPrefix(line, []byte("data")) || bytes.HasPrefix(line, []byte("id"))
	e.parseID(line)
}

// parseID sets the event's id if the line is an id field with a number.
func (e *event) parseID(line []byte) {
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
