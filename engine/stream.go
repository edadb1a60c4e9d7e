package engine

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// MaxEvent is the length limit of one line of a stream, in bytes. An event with a
// longer line is an error of kind Broken.
const MaxEvent = 64 << 10

// drainTimeout is the longest time that Close waits for the end of the response
// body after the last event. A connection whose response was read to its end
// can be reused.
const drainTimeout = 50 * time.Millisecond

// errTimeout is joined to the cause of an error of Next when First or Gap has
// passed without an event.
var errTimeout = errors.New("the connection went silent")

// errLate is the error of an event that came after the timeout.
var errLate = errors.New("event after the timeout")

// Stream is the response to one request, read event by event. First and Gap are
// the timeouts of Next; both may be set before the first call of Next. Open and
// Resume set them from the limits of the client, of which First also limits their
// wait for the response headers. A Stream is used by one goroutine and starts none
// of its own.
type Stream struct {
	First time.Duration // timeout for the first event, from the call of Next; 0 for none
	Gap   time.Duration // timeout for each later event, from the call of Next; 0 for none
	Boot  uint64        // boot number of the responding endpoint

	call     call
	body     io.ReadCloser
	lines    *bufio.Scanner
	cancel   context.CancelFunc
	timer    *time.Timer // of startTimeout; nil before its first use
	timedOut atomic.Bool
	started  bool
	ended    bool
}

// Open sends a request and returns the stream of its response. The body of the
// request must ask for a stream. The context applies until the stream is
// closed. Open makes one attempt; Error.Kind states whether the request may
// have run.
func (c *Client) Open(ctx context.Context, address string, request Request) (*Stream, error) {
	header := http.Header{}
	header.Set(HeaderRequest, request.ID)
	header.Set(HeaderFence, strconv.FormatUint(request.Fence, 10))
	header.Set(HeaderPriority, strconv.Itoa(request.Priority))
	if request.Exclusive {
		header.Set(HeaderAlone, "1")
	}
	return c.stream(ctx, call{
		op:      opOpen,
		address: address,
		method:  http.MethodPost,
		path:    request.Path,
		header:  header,
		body:    request.Body,
	})
}

// Resume returns the stream of the request id from the given chunk offset. The
// error is Gone if the endpoint does not know the stream.
func (c *Client) Resume(ctx context.Context, address, id string, offset int, fence uint64) (*Stream, error) {
	header := http.Header{}
	header.Set(HeaderFence, strconv.FormatUint(fence, 10))
	return c.stream(ctx, call{
		op:      opResume,
		address: address,
		method:  http.MethodGet,
		path:    streamPath(id) + "?offset=" + strconv.Itoa(offset),
		header:  header,
	})
}

func (c *Client) stream(ctx context.Context, k call) (*Stream, error) {
	limits := c.limits()
	ctx, cancel := context.WithCancel(ctx)
	k.header.Set("Accept", "text/event-stream")
	s := &Stream{First: limits.First, Gap: limits.Gap, call: k, cancel: cancel}
	stop := s.startTimeout(limits.First)
	response, err := c.send(ctx, k)
	stop()
	if err != nil {
		cancel()
		return nil, err
	}
	s.Boot, _ = strconv.ParseUint(response.Header.Get(HeaderBoot), 10, 64)
	s.body = response.Body
	s.lines = bufio.NewScanner(response.Body)
	s.lines.Buffer(nil, MaxEvent)
	return s, nil
}

// startTimeout closes the connection unless stop is called within d. No timeout
// applies if d is not above 0.
func (s *Stream) startTimeout(d time.Duration) (stop func()) {
	if d <= 0 {
		return func() {}
	}
	if s.timer == nil {
		s.timer = time.AfterFunc(d, s.expire)
	} else {
		s.timer.Reset(d)
	}
	return func() { s.timer.Stop() }
}

// expire closes the connection when a timeout has passed.
func (s *Stream) expire() {
	s.timedOut.Store(true)
	s.cancel()
}

// Next returns the next event. It returns io.EOF after the last event, and an
// *Error of kind Broken if the connection failed, ended early or timed out, or if
// an event can't be read or has a line longer than MaxEvent.
func (s *Stream) Next() (Chunk, error) {
	if s.ended {
		return Chunk{}, io.EOF
	}
	stop := s.startTimeout(s.timeout())
	chunk, err := s.readEvent()
	stop()
	if err == nil && s.timedOut.Load() {
		err = errLate // the endpoint may have sent it since the connection was closed
	}
	if err != nil {
		return Chunk{}, s.call.newError(Broken, http.StatusOK, s.cause(err))
	}
	s.started = true
	s.ended = chunk.Last
	return chunk, nil
}

func (s *Stream) timeout() time.Duration {
	if s.started {
		return s.Gap
	}
	return s.First
}

func (s *Stream) cause(err error) error {
	if s.timedOut.Load() {
		return errors.Join(errTimeout, err)
	}
	return err
}

// readEvent reads the lines of one event, including the blank line after it.
func (s *Stream) readEvent() (Chunk, error) {
	chunk := Chunk{Offset: -1}
	for s.lines.Scan() {
		line := s.lines.Bytes()
		if len(line) == 0 {
			if chunk.Offset >= 0 || chunk.Last {
				return chunk, nil
			}
			continue
		}
		if err := chunk.addLine(line); err != nil {
			return Chunk{}, err
		}
	}
	if err := s.lines.Err(); err != nil {
		return Chunk{}, err
	}
	return Chunk{}, io.ErrUnexpectedEOF
}

// done is the data of the event that ends a stream.
const done = "[DONE]"

// addLine adds one line of an event to the chunk. Unknown fields are ignored, as
// the server-sent events format requires.
func (c *Chunk) addLine(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		offset, err := strconv.Atoi(string(value))
		if err != nil {
			return err
		}
		c.Offset = offset
	case "data":
		c.Last = string(value) == done
		if c.Last {
			return nil
		}
		if c.Data != nil {
			c.Data = append(c.Data, '\n')
		}
		c.Data = append(c.Data, value...)
	}
	return nil
}

// Close ends the stream. If the response was read to its end, the connection
// can be reused; otherwise it is closed, from which the endpoint sees that the
// caller has disconnected.
func (s *Stream) Close() error {
	if s.ended {
		stop := s.startTimeout(drainTimeout)
		_, _ = io.Copy(io.Discard, s.body)
		stop()
	}
	s.cancel()
	return s.body.Close()
}
