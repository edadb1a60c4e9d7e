package front

import (
	"context"
	"net/http"
	"time"

	"clementinehead.example/chead/hold"
)

// holdEvent adds an event to those held, as soon as there is room.
func (f *Front) holdEvent(ctx context.Context, j *job, x *exchange, e event) sending {
	size := sizeOf(e.raw)
	for waits := false; !j.share.Add(hold.Ahead, size, time.Now()); waits = true {
		if !waits {
			f.noteFull(j, hold.Ahead)
			j.outlet.setFull(true)
			defer j.outlet.setFull(false)
			x.slot.Hold(true)
			defer x.slot.Hold(false)
		}
		select {
		case <-ctx.Done():
			return lost
		case <-j.outlet.taken:
		case <-time.After(roomPoll):
		}
	}
	j.outlet.add(e.raw)
	return sent
}

// add adds an event to those held.
func (o *outlet) add(raw []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.events = append(o.events, raw)
	signal(o.added)
}

// signal puts a value into a channel that has room for one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// take takes the next event, as soon as there is one. It reports false once the reader has
// ended and nothing is held.
func (o *outlet) take() ([]byte, bool) {
	for open := true; ; {
		o.mu.Lock()
		if len(o.events) > 0 {
			raw := o.events[0]
			o.events[0] = nil
			o.events = o.events[1:]
			o.writing = true
			o.mu.Unlock()
			signal(o.taken)
			return raw, true
		}
		o.writing = false
		o.mu.Unlock()
		if !open {
			return nil, false
		}
		_, open = <-o.added
	}
}

// drain writes what the reader holds to the caller, until the reader has ended. It returns
// the reader's result, or disconnected if the caller got less.
func (f *Front) drain(j *job) (result, error) {
	for {
		raw, more := j.outlet.take()
		if !more {
			break
		}
		if !j.outlet.hasFailed() && j.writeHeld(raw) != nil {
			j.abandon()
		}
	}
	if j.outlet.hasFailed() {
		return disconnected, nil
	}
	return j.outlet.got, j.outlet.err
}

// abandon ends the sends of a request whose caller gets nothing any more.
func (j *job) abandon() {
	j.outlet.fail()
	j.end()
}

// writeHeld writes an event that was held, in parts.
func (j *job) writeHeld(raw []byte) error {
	rest := sizeOf(raw)
	defer func() { j.share.Moved(hold.Ahead, rest, time.Now()) }()
	for len(raw) > 0 {
		part := raw[:min(len(raw), writePart)]
		if err := j.writeEvent(part); err != nil {
			return err
		}
		raw = raw[len(part):]
		if len(raw) > 0 {
			rest -= int64(len(part))
			j.share.Moved(hold.Ahead, int64(len(part)), time.Now())
		}
	}
	j.noteSent()
	return nil
}

// writeEvent writes an event, or a part of one, to the caller.
func (j *job) writeEvent(raw []byte) error {
	if _, err := j.w.Write(raw); err != nil {
		return err
	}
	return http.NewResponseController(j.w).Flush()
}

// noteSent records that an event was sent to the caller.
func (j *job) noteSent() {
	j.stream.record(j.arrived, time.Now())
	j.progress.events.Add(1)
}
