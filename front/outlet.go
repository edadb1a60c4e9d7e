package front

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"clementinehead.example/chead/hold"
)

const (
	slowAfter     = 50 * time.Millisecond // a write to the caller that takes longer makes it a slow reader
	roomPoll      = 50 * time.Millisecond // between two looks whether there is room for an event
	writePart     = 16 << 10              // bytes written to a slow reader at once, so that its progress is seen
	eventOverhead = 64                    // bytes held for an event besides its own
)

// outlet passes a stream's events to the caller. The request's handler reads an event from
// the endpoint and writes it, until a write takes longer than slowAfter. A reader then goes
// on in a goroutine of its own, with this send and those that may follow it, and the handler
// writes what the reader holds for it. The zero value is ready to use.
type outlet struct {
	mu      sync.Mutex
	timer   *time.Timer
	x       *exchange // of the event being written
	size    int64     // bytes that the event counts, while it is written by the handler
	writing bool
	split   bool          // there is a reader
	full    bool          // the reader waits for room
	failed  bool          // the caller gets nothing any more
	events  [][]byte      // held
	added   chan struct{} // holds a value after an event was added, closed by the reader's end
	taken   chan struct{} // holds a value after an event was taken
	got     result        // the reader's
	err     error         // the reader's
}

// sending is what came of passing on an event.
type sending int

const (
	sent    sending = iota
	lost            // the caller gets nothing any more
	divided         // it is or was on its way, and a reader goes on
)

// forwardEvent passes an event to the caller, after the head if that was not sent yet. For
// a reader it holds the event, and waits for room.
func (f *Front) forwardEvent(ctx context.Context, j *job, x *exchange, e event) sending {
	x.begun = true
	if j.outlet.isSplit() {
		j.stream.point = j.stream.after(e)
		return f.holdEvent(ctx, j, x, e)
	}
	if !j.stream.headSent {
		f.sendHead(j, x.resp)
	}
	j.stream.point = j.stream.after(e)
	f.beginWrite(ctx, j, x, sizeOf(e.raw))
	err := j.writeEvent(e.raw)
	divide := j.outlet.end()
	if divide {
		j.share.Moved(hold.Ahead, sizeOf(e.raw), time.Now())
	}
	switch {
	case err != nil && divide:
		j.abandon()
		return divided
	case err != nil:
		j.outlet.fail()
		return lost
	}
	j.noteSent()
	if divide {
		return divided
	}
	return sent
}

// sizeOf returns how many bytes an event counts while it is held.
func sizeOf(raw []byte) int64 { return int64(cap(raw)) + eventOverhead }

// beginWrite begins the handler's write of an event. If it lasts, a reader is started.
func (f *Front) beginWrite(ctx context.Context, j *job, x *exchange, size int64) {
	o := &j.outlet
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writing = true
	o.x = x
	o.size = size
	if o.timer == nil {
		o.timer = time.AfterFunc(slowAfter, func() { f.read(ctx, j) })
		return
	}
	o.timer.Reset(slowAfter)
}

// end ends a write, and reports whether there is a reader.
func (o *outlet) end() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writing = false
	o.timer.Stop()
	return o.split
}

func (o *outlet) isSplit() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.split
}

// fail records that the caller gets nothing any more.
func (o *outlet) fail() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failed = true
}

func (o *outlet) hasFailed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.failed
}

func (o *outlet) setFull(full bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.full = full
}

// isFull reports whether the reader waits for room, so that nothing is read from the endpoint.
func (o *outlet) isFull() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.full
}

// isBehind reports whether the caller has yet to take something.
func (o *outlet) isBehind() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.split && (o.writing || len(o.events) > 0)
}

// divide makes the goroutine that calls it the reader, if a write lasts. It returns the
// exchange that the event being written came from and the bytes that the event counts.
func (o *outlet) divide() (x *exchange, size int64, begun bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.writing || o.split {
		return nil, 0, false
	}
	o.split = true
	o.added = make(chan struct{}, 1)
	o.taken = make(chan struct{}, 1)
	return o.x, o.size, true
}

// read is the reader, if the handler's write still lasts.
func (f *Front) read(ctx context.Context, j *job) {
	o := &j.outlet
	x, size, begun := o.divide()
	if !begun {
		return
	}
	j.share.Add(hold.Ahead, size, time.Now())
	got, err := unknown, error(nil)
	defer func() {
		if fault := recover(); fault != nil { // as net/http does for the handler
			f.options.Log.Info("reader broke off", "id", j.id, "fault", fmt.Sprint(fault), "stack", string(debug.Stack()))
			j.abandon()
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		o.got, o.err = got, err
		close(o.added)
	}()
	got, err = f.run(ctx, j, x)
}
