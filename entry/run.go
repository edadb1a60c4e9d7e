package entry

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/wire"
)

const (
	maxResumes = 5                      // connections tried in a row without a new chunk
	resumeWait = 100 * time.Millisecond // before the second of them; doubles
)

// outcome is how one dispatch ended.
type outcome struct {
	ending wire.Ending
	err    *Error // nil for a whole answer
	first  time.Duration
	tokens int
	broke  bool               // the endpoint's side broke the connection: it may have crashed
	settle func() wire.Ending // stops what may still run; nil where nothing can
}

// dispatch is one run of a request at one endpoint, over as many connections
// as it takes.
type dispatch struct {
	entry   *Entry
	job     *job
	permit  *permit
	answer  *answer
	client  *engine.Client
	id      string // of this dispatch alone, so that it can't resume another
	started time.Time
	first   time.Duration
	boot    uint64
	opened  bool // the endpoint took the request
	tokens  int
	order   sequence
}

// dispatch runs a request under a permit and passes its answer on.
func (e *Entry) dispatch(ctx context.Context, j *job, p *permit, a *answer) outcome {
	d := &dispatch{entry: e, job: j, permit: p, answer: a, client: e.warm, started: time.Now()}
	d.id = j.id + "~" + e.name()
	if j.once {
		d.client = e.fresh
		e.seen.add(j.record())
	}
	err := d.run(ctx)
	if err == nil {
		err = d.finish()
	}
	o := d.judge(ctx, err)
	o.first = d.first
	o.tokens = d.tokens
	return o
}

// run opens the stream, reads it to its end, and resumes it where a connection
// fails.
func (d *dispatch) run(ctx context.Context) error {
	stream, err := d.client.Open(ctx, d.permit.target, engine.Request{
		ID:       d.id,
		Path:     d.job.path,
		Body:     d.job.body,
		Fence:    d.permit.fence,
		Priority: d.job.priority,
		Alone:    d.permit.alone,
	})
	if err != nil && engine.RanBy(err) == engine.No {
		return err
	}
	failures := 0
	for {
		before := d.order.next
		if err == nil {
			err = d.read(stream)
		}
		if err == nil || final(ctx, err) {
			return err
		}
		if d.order.next > before {
			failures = 0
		}
		if failures >= maxResumes || !d.rest(ctx, failures) {
			return err
		}
		failures++
		d.entry.metrics.resumes.Inc()
		stream, err = d.client.Resume(ctx, d.permit.target, d.id, d.order.next, d.permit.fence)
	}
}

// rest waits before a resumption; the first one is made at once.
func (d *dispatch) rest(ctx context.Context, failures int) bool {
	if failures == 0 {
		return ctx.Err() == nil
	}
	return clock.Sleep(ctx, resumeWait<<(failures-1))
}

// errRestarted is the cause where another boot of an endpoint answered.
var errRestarted = errors.New("the endpoint restarted")

// final reports whether a failure can't be mended by a new connection to the
// same endpoint.
func final(ctx context.Context, err error) bool {
	if ctx.Err() != nil || errors.Is(err, errCaller) || errors.Is(err, errRestarted) {
		return true
	}
	if errors.Is(err, errHole) {
		return false
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return true
	}
	var fault *engine.Error
	return !errors.As(err, &fault) || fault.Kind != engine.Broken && fault.Kind != engine.Unsent
}

// read passes on what one connection brings. It returns nil when the answer is
// whole.
func (d *dispatch) read(stream *engine.Stream) error {
	defer stream.Close()
	if d.opened && stream.Boot != d.boot {
		return errRestarted
	}
	d.opened = true
	d.boot = stream.Boot
	for !d.order.end {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return errHole
		}
		if err != nil {
			return err
		}
		if err := d.order.take(chunk, d.pass); err != nil {
			return err
		}
	}
	return nil
}

// pass hands the next chunk to the answer. A not-repeatable request goes on
// when its caller has gone, so that the answer is there when the caller asks
// again.
func (d *dispatch) pass(chunk engine.Chunk) error {
	d.tokens++
	if d.first == 0 {
		d.first = time.Since(d.started)
	}
	err := d.answer.add(chunk)
	if d.job.once && errors.Is(err, errCaller) {
		return nil
	}
	return err
}

// finish ends the answer.
func (d *dispatch) finish() error {
	err := d.answer.finish()
	if d.job.once && errors.Is(err, errCaller) {
		return nil
	}
	return err
}

// judge says how a dispatch ended.
func (d *dispatch) judge(ctx context.Context, err error) outcome {
	if err == nil {
		return outcome{ending: wire.Ending_ENDING_COMPLETE}
	}
	ran := engine.RanBy(err)
	if d.opened {
		ran = engine.Unknown
	}
	if d.order.next > 0 {
		ran = engine.Yes
	}
	o := d.ended(ctx, err, ran)
	if ran != engine.No && o.ending != wire.Ending_ENDING_CRASHED {
		o.broke = brokeOff(err)
		o.settle = func() wire.Ending { return d.settle(o.ending) }
	}
	return o
}

func (d *dispatch) ended(ctx context.Context, err error, ran engine.Ran) outcome {
	fault := func(kind Code) *Error { return &Error{Op: "dispatch", Kind: kind, Ran: ran, Err: err} }
	switch {
	case errors.Is(err, errCaller), ctx.Err() != nil && !d.job.late():
		return outcome{ending: wire.Ending_ENDING_CANCELLED, err: fault(Cancelled)}
	case ctx.Err() != nil:
		return outcome{ending: wire.Ending_ENDING_CANCELLED, err: fault(Timeout)}
	case d.crashed(err):
		return outcome{ending: wire.Ending_ENDING_CRASHED, err: fault(Crashed)}
	case ran == engine.No:
		return d.refused(err, fault)
	default:
		return outcome{ending: wire.Ending_ENDING_BROKEN, err: fault(Broken)}
	}
}

// refused tells an endpoint that found the request wrong from one that did not
// take it now.
func (d *dispatch) refused(err error, fault func(Code) *Error) outcome {
	o := outcome{ending: wire.Ending_ENDING_REFUSED}
	var cause *engine.Error
	errors.As(err, &cause)
	if cause.Kind == engine.Invalid {
		o.err = fault(BadRequest)
		return o
	}
	if cause.Kind == engine.Unsent {
		o.ending = wire.Ending_ENDING_UNUSED
	}
	o.err = fault(Unavailable)
	o.err.Retry = defaultBack
	return o
}

// crashed reports whether an endpoint died or restarted while it had the
// request. One that is only out of reach may be well; one that breaks off all
// connections, that of the request and those of the resumptions, counts as
// dead: a request that crashes endpoints must not run again before it is known
// that it did.
func (d *dispatch) crashed(err error) bool {
	if errors.Is(err, errRestarted) || d.opened && brokeOff(err) {
		return true
	}
	var fault *engine.Error
	if !errors.As(err, &fault) || fault.Op == opOpen {
		return false
	}
	refused := errors.Is(err, syscall.ECONNREFUSED)
	return refused || fault.Kind == engine.Gone && d.opened
}

// opOpen is the operation of an engine.Error that comes from Open.
const opOpen = "open"
