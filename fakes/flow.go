package fakes

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// maxBuffered is the number of bytes that a flow buffers before its writer
// blocks.
const maxBuffered = 64 << 10

// flow is one direction of a connection: one end writes, the other reads.
type flow struct {
	blocked func() bool          // while it returns true, nothing arrives
	delay   func() time.Duration // latency from write to read

	mu            sync.Mutex
	changed       chan struct{} // closed and replaced at each change
	segments      []segment
	size          int // bytes in segments
	reset         bool
	silent        bool // nothing arrives any more, for good
	readClosed    bool
	writeClosed   bool
	readDeadline  time.Time // the reader's deadline, zero for none
	writeDeadline time.Time // the writer's deadline, zero for none
}

// segment is the data of one write. A segment without data marks the end of the
// flow.
type segment struct {
	data    []byte
	arrives time.Time // when the reader can see it
}

func newFlow(blocked func() bool, delay func() time.Duration) *flow {
	return &flow{blocked: blocked, delay: delay, changed: make(chan struct{})}
}

// update changes the flow and wakes all that wait for a change.
func (f *flow) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	f.wake()
}

// wake wakes all that wait for a change. It must be called with the lock held.
func (f *flow) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// attempt is the result of one attempt to read or write. If it is not done, the
// operation is retried after a change of the flow, and also at retryAt if that
// is not zero.
type attempt struct {
	n       int
	err     error
	done    bool
	retryAt time.Time
}

// untilDone calls try, with the lock held, until the attempt is done.
func (f *flow) untilDone(try func() attempt) (int, error) {
	for {
		f.mu.Lock()
		a := try()
		changed := f.changed
		f.mu.Unlock()
		if a.done {
			return a.n, a.err
		}
		waitChange(changed, a.retryAt)
	}
}

// waitChange waits until changed is closed, or until a time if that is not zero.
func waitChange(changed <-chan struct{}, until time.Time) {
	if until.IsZero() {
		<-changed
		return
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

func (f *flow) read(p []byte) (int, error) {
	return f.untilDone(func() attempt { return f.tryRead(p) })
}

func (f *flow) tryRead(p []byte) attempt {
	switch {
	case f.readClosed:
		return attempt{err: net.ErrClosed, done: true}
	case expired(f.readDeadline):
		return attempt{err: os.ErrDeadlineExceeded, done: true}
	case f.reset:
		return attempt{err: syscall.ECONNRESET, done: true}
	case f.silent || f.blocked() || len(f.segments) == 0:
		return attempt{retryAt: f.readDeadline}
	case f.segments[0].arrives.After(time.Now()):
		return attempt{retryAt: earlier(f.segments[0].arrives, f.readDeadline)}
	case f.segments[0].data == nil:
		return attempt{err: io.EOF, done: true}
	}
	n := f.consume(p)
	return attempt{n: n, done: true}
}

// consume copies data from the first segment to p. It must be called with the
// lock held.
func (f *flow) consume(p []byte) int {
	n := copy(p, f.segments[0].data)
	f.segments[0].data = f.segments[0].data[n:]
	if len(f.segments[0].data) == 0 {
		f.segments = f.segments[1:]
	}
	f.size -= n
	f.wake()
	return n
}

func (f *flow) write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n, err := f.untilDone(func() attempt { return f.tryWrite(p[written:]) })
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

func (f *flow) tryWrite(p []byte) attempt {
	switch {
	case f.writeClosed:
		return attempt{err: net.ErrClosed, done: true}
	case expired(f.writeDeadline):
		return attempt{err: os.ErrDeadlineExceeded, done: true}
	case f.reset:
		return attempt{err: syscall.EPIPE, done: true}
	case f.readClosed && !f.silent && !f.blocked():
		return attempt{err: syscall.ECONNRESET, done: true}
	case f.size >= maxBuffered:
		return attempt{retryAt: f.writeDeadline}
	}
	n := min(len(p), maxBuffered-f.size)
	f.append(append([]byte(nil), p[:n]...))
	return attempt{n: n, done: true}
}

// append adds a segment that arrives after the latency. It must be called with
// the lock held.
func (f *flow) append(data []byte) {
	f.segments = append(f.segments, segment{data: data, arrives: time.Now().Add(f.delay())})
	f.size += len(data)
	f.wake()
}

// closeWrite marks the end of the flow. The reader sees it after all data.
func (f *flow) closeWrite() {
	f.update(func() {
		if f.writeClosed {
			return
		}
		f.writeClosed = true
		f.segments = append(f.segments, segment{arrives: time.Now().Add(f.delay())})
	})
}

// expired reports whether a deadline is set and has passed.
func expired(deadline time.Time) bool {
	return !deadline.IsZero() && !deadline.After(time.Now())
}

// earlier returns the earlier of two times, where b may be zero for none.
func earlier(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}
