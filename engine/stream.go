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

// MaxEvent bounds the size of one line of a stream, in bytes.
const MaxEvent = 1 << 20

// maxDrain bounds the wait for the end of a complete answer on Close. A
// connection whose answer was read to its end can be used again.
const maxDrain = 50 * time.Millisecond

// errSilent is the cause of a Broken error that a limit on silence brought
// about.
var errSilent = errors.New("the connection went silent")

// Stream is the answer to one request, read event by event. First and Gap
// bound the silence that Next accepts; both may be set before Next is called
// first. A Stream is used by one goroutine and owns none.
type Stream struct {
	First time.Duration // before the first event, from the call of Next; 0 for no limit
	Gap   time.Duration // before each later event, from the call of Next; 0 for no limit
	Boot  uint64        // boot number of the endpoint that answers

	call   call
	body   io.ReadCloser
	lines  *bufio.Scanner
	cancel context.CancelFunc
	timer  *time.Timer // of limit; nil before its first use
	silent atomic.Bool
	begun  bool
	last   bool
}

// Open sends a request and returns the stream of its answer. The request's
// body asks for a stream. The context holds for the stream's whole life. One
// attempt is made; Error.Kind says what is known of the request.
func (c *Client) Open(ctx context.Context, address string, request Request) (*Stream, error) {
	header := http.Header{}
	header.Set(HeaderRequest, request.ID)
	header.Set(HeaderFence, strconv.FormatUint(request.Fence, 10))
	header.Set(HeaderPriority, strconv.Itoa(request.Priority))
	if request.Alone {
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

// Resume returns the rest of the stream of request id, from the chunk offset
// on. The error is Gone where the endpoint does not know the stream.
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
	stop := s.limit(limits.First)
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

// limit ends the connection unless stop is called within d.
func (s *Stream) limit(d time.Duration) (stop func()) {
	if d <= 0 {
		return func() {}
	}
	if s.timer == nil {
		s.timer = time.AfterFunc(d, s.silence)
	} else {
		s.timer.Reset(d)
	}
	return func() { s.timer.Stop() }
}

// silence ends the connection for its silence.
func (s *Stream) silence() {
	s.silent.Store(true)
	s.cancel()
}

// Next returns the next event. It returns io.EOF after the last one, and an
// *Error of kind Broken when the connection failed, ended early or was silent
// beyond the limits.
func (s *Stream) Next() (Chunk, error) {
	if s.last {
		return Chunk{}, io.EOF
	}
	stop := s.limit(s.pause())
	chunk, err := s.read()
	stop()
	if err != nil {
		return Chunk{}, s.call.fault(Broken, http.StatusOK, s.cause(err))
	}
	s.begun = true
	s.last = chunk.Last
	return chunk, nil
}

func (s *Stream) pause() time.Duration {
	if s.begun {
		return s.Gap
	}
	return s.First
}

func (s *Stream) cause(err error) error {
	if s.silent.Load() {
		return errors.Join(errSilent, err)
	}
	return err
}

// read reads the lines of one event up to the blank line that ends it.
func (s *Stream) read() (Chunk, error) {
	chunk := Chunk{Offset: -1}
	for s.lines.Scan() {
		line := s.lines.Bytes()
		if len(line) == 0 {
			if chunk.Offset >= 0 || chunk.Last {
				return chunk, nil
			}
			continue
		}
		if err := chunk.take(line); err != nil {
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

// take adds one line of an event to the chunk. Fields that it does not know
// are skipped, as the format asks.
func (c *Chunk) take(line []byte) error {
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

// Close ends the stream. An answer that was read to its end leaves the
// connection in use for others; any other connection is closed, which tells
// the endpoint that the caller went away.
func (s *Stream) Close() error {
	if s.last {
		stop := s.limit(maxDrain)
		_, _ = io.Copy(io.Discard, s.body)
		stop()
	}
	s.cancel()
	return s.body.Close()
}
