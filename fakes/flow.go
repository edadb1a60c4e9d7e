package fakes

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// window is the number of bytes that a flow holds before its writer waits.
const window = 64 << 10

// flow is one direction of a connection: one end writes, the other reads.
type flow struct {
	held  func() bool          // nothing arrives while it reports true
	delay func() time.Duration // from write to read

	mu          sync.Mutex
	changed     chan struct{} // closed and replaced at each change
	parts       []part
	size        int // bytes in parts
	reset       bool
	silent      bool // nothing arrives any more
	readClosed  bool
	writeClosed bool
	readBy      time.Time // the reader's deadline, zero for none
	writeBy     time.Time // the writer's deadline, zero for none
}

// part is what one write added. A part without data is the end of the flow.
type part struct {
	data []byte
	at   time.Time // when it arrives
}

func newFlow(held func() bool, delay func() time.Duration) *flow {
	return &flow{held: held, delay: delay, changed: make(chan struct{})}
}

// update changes the flow and wakes who waits for it.
func (f *flow) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	f.wake()
}

// wake is called with the lock held.
func (f *flow) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// attempt is the result of one try to read or write. An attempt that is not
// done is tried again after a change, or at the moment again where it is set.
type attempt struct {
	n     int
	err   error
	done  bool
	again time.Time
}

// retry calls try, with the lock held, until it is done.
func (f *flow) retry(try func() attempt) (int, error) {
	for {
		f.mu.Lock()
		a := try()
		changed := f.changed
		f.mu.Unlock()
		if a.done {
			return a.n, a.err
		}
		pause(changed, a.again)
	}
}

// pause waits for changed or for a moment, where it is set.
func pause(changed <-chan struct{}, until time.Time) {
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
	return f.retry(func() attempt { return f.tryRead(p) })
}

func (f *flow) tryRead(p []byte) attempt {
	switch {
	case f.readClosed:
		return attempt{err: net.ErrClosed, done: true}
	case passed(f.readBy):
		return attempt{err: os.ErrDeadlineExceeded, done: true}
	case f.reset:
		return attempt{err: syscall.ECONNRESET, done: true}
	case f.silent || f.held() || len(f.parts) == 0:
		return attempt{again: f.readBy}
	case f.parts[0].at.After(time.Now()):
		return attempt{again: earlier(f.parts[0].at, f.readBy)}
	case f.parts[0].data == nil:
		return attempt{err: io.EOF, done: true}
	}
	n := f.take(p)
	return attempt{n: n, done: true}
}

func (f *flow) take(p []byte) int {
	n := copy(p, f.parts[0].data)
	f.parts[0].data = f.parts[0].data[n:]
	if len(f.parts[0].data) == 0 {
		f.parts = f.parts[1:]
	}
	f.size -= n
	f.wake()
	return n
}

func (f *flow) write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n, err := f.retry(func() attempt { return f.tryWrite(p[written:]) })
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
	case passed(f.writeBy):
		return attempt{err: os.ErrDeadlineExceeded, done: true}
	case f.reset:
		return attempt{err: syscall.EPIPE, done: true}
	case f.readClosed && !f.silent && !f.held():
		return attempt{err: syscall.ECONNRESET, done: true}
	case f.size >= window:
		return attempt{again: f.writeBy}
	}
	n := min(len(p), window-f.size)
	f.append(append([]byte(nil), p[:n]...))
	return attempt{n: n, done: true}
}

// append is called with the lock held.
func (f *flow) append(data []byte) {
	f.parts = append(f.parts, part{data: data, at: time.Now().Add(f.delay())})
	f.size += len(data)
	f.wake()
}

// finish ends the writer's side.
func (f *flow) finish() {
	f.update(func() {
		if f.writeClosed {
			return
		}
		f.writeClosed = true
		f.parts = append(f.parts, part{at: time.Now().Add(f.delay())})
	})
}

func passed(deadline time.Time) bool {
	return !deadline.IsZero() && !deadline.After(time.Now())
}

func earlier(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}
