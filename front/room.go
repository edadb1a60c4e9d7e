package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"clementinehead.example/chead/hold"
)

const (
	firstPart    = 64 << 10               // bytes for which there is room at once for a body, or less if it is known to be shorter
	unknownPart  = 4 << 10                // the same for a body of unknown length
	answerPart   = 64 << 10               // bytes of an answer that are written at once
	lateAnswer   = 100 * time.Millisecond // after the deadline, in which the caller may still take a refusal
	fullLogPause = time.Second            // between two lines that tell of the memory bound
)

var (
	errNoRoom   = errors.New("no memory")
	errTooLarge = errors.New("body too large")
)

// readHeld reads a body of at most limit bytes. What it takes counts as held by the request.
// The size is that of the body, or negative if it isn't known. The error is errNoRoom,
// errTooLarge or the reader's.
func (f *Front) readHeld(j *job, kind hold.Kind, r io.Reader, size, limit int64) ([]byte, error) {
	most, part := limit+1, int64(unknownPart) // a byte more shows the end
	if size >= 0 {
		most, part = min(size, limit)+1, firstPart
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := f.grow(j, kind, body, min(most, max(part, 2*int64(cap(body)))))
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, errTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow returns a body with room for size bytes.
func (f *Front) grow(j *job, kind hold.Kind, body []byte, size int64) ([]byte, error) {
	if size <= int64(cap(body)) {
		return nil, errTooLarge // more than was announced
	}
	if !j.share.Add(kind, size, time.Now()) {
		f.noteFull(j, kind)
		return nil, errNoRoom
	}
	grown := append(make([]byte, 0, size), body...)
	j.share.Free(int64(cap(body)))
	return grown, nil
}

// readAnswer reads the body of an answer that isn't streamed.
func (x *exchange) readAnswer() ([]byte, error) {
	body, err := x.front.readHeld(x.job, hold.Answer, x.resp.Body, x.resp.ContentLength, responseLimit)
	if err == nil {
		x.resp.MarkConsumed()
	}
	return body, err
}

// notWhole records that an answer wasn't read whole. If there was no room for it, that says
// nothing of its endpoint. The result is unknown.
func (x *exchange) notWhole(err error) result {
	if errors.Is(err, errNoRoom) {
		x.lacksRoom()
	}
	return x.breaksOff("answer cut short", err)
}

// writeAnswer writes the body of an answer to the caller. A long one waits for the caller.
func (j *job) writeAnswer(body []byte) error {
	if len(body) > answerPart {
		j.share.Deliver(int64(len(body)), time.Now())
	}
	for {
		part := body[:min(len(body), answerPart)]
		if _, err := j.w.Write(part); err != nil {
			return err
		}
		body = body[len(part):]
		j.share.Moved(hold.Answer, int64(len(part)), time.Now())
		if len(body) == 0 {
			return nil
		}
	}
}

// boundWrites bounds the writes to the caller by the request's deadline, and those of a
// stream by the context of its sends. The function that it returns ends the latter.
func (j *job) boundWrites(ctx context.Context) func() {
	control := http.NewResponseController(j.w)
	_ = control.SetWriteDeadline(j.deadline.Add(lateAnswer)) // fails only without a connection
	stopLeave := context.AfterFunc(j.r.Context(), j.share.Leave)
	stop := context.AfterFunc(ctx, func() {
		if j.progress.headSent.Load() {
			j.breakWrites()
		}
	})
	return func() {
		stop()
		stopLeave()
		j.writes.Lock()
		defer j.writes.Unlock()
		j.written = true
	}
}

// breakWrites makes the present write to the caller fail, and all further ones of the
// request.
func (j *job) breakWrites() {
	j.writes.Lock()
	defer j.writes.Unlock()
	if j.written {
		return // the connection may carry the next request
	}
	_ = http.NewResponseController(j.w).SetWriteDeadline(time.Now()) // fails only without a connection
}

// evict ends a request that has to give way to others.
func (f *Front) evict(j *job, why hold.Reason) {
	j.evicted.Store(int64(why))
	j.abandon()
	j.breakWrites()
	state := f.options.Hold.State()
	f.options.Log.Info("slow reader gives way", "id", j.id, "why", why.String(), "held", state.Held, "slow", state.Slow, "left_ms", j.remaining().Milliseconds())
}

// evictedFor returns why a request had to give way to others, or hold.None.
func (j *job) evictedFor() hold.Reason { return hold.Reason(j.evicted.Load()) }

// cutReason returns the reason in the log of a request whose caller has a part of its
// response, unless it had to give way.
func (j *job) cutReason(usual string) string {
	if why := j.evictedFor(); why != hold.None {
		return errNoRoom.Error() + ": " + why.String()
	}
	return usual
}

// noteFull logs that there is no room, at most once in fullLogPause.
func (f *Front) noteFull(j *job, kind hold.Kind) {
	now, last := time.Now().UnixNano(), f.fullAt.Load()
	if now-last < int64(fullLogPause) || !f.fullAt.CompareAndSwap(last, now) {
		return
	}
	state := f.options.Hold.State()
	f.options.Log.Info("memory bound binds", "id", j.id, "for", kind.String(), "held", state.Held, "slow", state.Slow, "times", state.Full)
}

// remove ends what is kept of a request in progress.
func (f *Front) remove(j *job) {
	f.jobs.remove(j)
	if j.share != nil {
		j.share.Close()
	}
}
