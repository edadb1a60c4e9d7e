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
	maxResumes  = 5                      // resumptions in a row without a new chunk, after which the dispatch fails
	resumeDelay = 100 * time.Millisecond // before the second resumption in a row; doubles with each further one
)

// outcome is the result of one dispatch.
type outcome struct {
	ending       wire.Ending
	err          *Error             // nil for a complete answer
	first        time.Duration      // from the start of the dispatch to the first chunk
	tokens       int                // chunks passed to the answer, each counted as one token
	closedByPeer bool               // the endpoint's side closed the connection: it may have crashed
	resolve      func() wire.Ending // stops a run that may still go on and returns the actual ending, ENDING_BROKEN if that stays uncertain; nil where nothing can be running
}

// dispatch is one run of a request at one endpoint, over one or more
// connections.
type dispatch struct {
	entry    *Entry
	job      *job
	permit   *permit
	answer   *answer
	client   *engine.Client
	id       string // unique to this dispatch, so that it can't resume another one
	started  time.Time
	first    time.Duration // from started to the first chunk
	boot     uint64        // boot number of the endpoint
	accepted bool          // the endpoint accepted the request
	tokens   int           // chunks passed to the answer, each counted as one token
	chunks   sequence
}

// dispatch runs a request under a permit and forwards its answer.
func (e *Entry) dispatch(ctx context.Context, j *job, p *permit, a *answer) outcome {
	d := &dispatch{entry: e, job: j, permit: p, answer: a, client: e.pooled, started: time.Now()}
	d.id = j.id + "~" + e.newID()
	if j.atMostOnce {
		d.client = e.unpooled
		e.dispatched.add(j.recordKey())
	}
	err := d.run(ctx)
	if err == nil {
		err = d.finish()
	}
	o := d.classify(ctx, err)
	o.first = d.first
	o.tokens = d.tokens
	return o
}

// run opens the stream and reads it to its end. Where a connection fails, it
// resumes the stream on a new one.
func (d *dispatch) run(ctx context.Context) error {
	stream, err := d.client.Open(ctx, d.permit.address, engine.Request{
		ID:        d.id,
		Path:      d.job.path,
		Body:      d.job.body,
		Fence:     d.permit.fence,
		Priority:  d.job.priority,
		Exclusive: d.permit.alone,
	})
	if err != nil && engine.RanOf(err) == engine.No {
		return err
	}
	failures := 0
	for {
		before := d.chunks.next
		if err == nil {
			err = d.readStream(stream)
		}
		if err == nil || isFinal(ctx, err) {
			return err
		}
		if d.chunks.next > before {
			failures = 0
		}
		if failures >= maxResumes || !d.waitResume(ctx, failures) {
			return err
		}
		failures++
		d.entry.metrics.resumes.Inc()
		stream, err = d.client.Resume(ctx, d.permit.address, d.id, d.chunks.next, d.permit.fence)
	}
}

// waitResume waits before a resumption; the first one is made at once. It
// reports whether the context is still active.
func (d *dispatch) waitResume(ctx context.Context, failures int) bool {
	if failures == 0 {
		return ctx.Err() == nil
	}
	return clock.Sleep(ctx, resumeDelay<<(failures-1))
}

// errRestarted is the cause where an endpoint answers with another boot number.
var errRestarted = errors.New("the endpoint restarted")

// isFinal reports whether a new connection to the same endpoint can't help
// after an error.
func isFinal(ctx context.Context, err error) bool {
	if ctx.Err() != nil || errors.Is(err, errCallerConn) || errors.Is(err, errRestarted) {
		return true
	}
	if errors.Is(err, errMissingChunks) {
		return false
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return true
	}
	var fault *engine.Error
	return !errors.As(err, &fault) || fault.Kind != engine.Broken && fault.Kind != engine.Unsent
}

// readStream forwards the chunks of one connection. It returns nil at the end
// of the answer.
func (d *dispatch) readStream(stream *engine.Stream) error {
	defer stream.Close()
	if d.accepted && stream.Boot != d.boot {
		return errRestarted
	}
	d.accepted = true
	d.boot = stream.Boot
	for !d.chunks.ended {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return errMissingChunks
		}
		if err != nil {
			return err
		}
		if err := d.chunks.add(chunk, d.passChunk); err != nil {
			return err
		}
	}
	return nil
}

// passChunk gives the next chunk to the answer. A request that isn't repeatable
// goes on after its caller has disconnected, so that its answer is recorded for
// the caller's next attempt.
func (d *dispatch) passChunk(chunk engine.Chunk) error {
	d.tokens++
	if d.first == 0 {
		d.first = time.Since(d.started)
	}
	err := d.answer.add(chunk)
	if d.job.atMostOnce && errors.Is(err, errCallerConn) {
		return nil
	}
	return err
}

// finish completes the answer.
func (d *dispatch) finish() error {
	err := d.answer.finish()
	if d.job.atMostOnce && errors.Is(err, errCallerConn) {
		return nil
	}
	return err
}

// classify returns the outcome of a dispatch that ended with err.
func (d *dispatch) classify(ctx context.Context, err error) outcome {
	if err == nil {
		return outcome{ending: wire.Ending_ENDING_COMPLETE}
	}
	ran := engine.RanOf(err)
	if d.accepted {
		ran = engine.Unknown
	}
	if d.chunks.next > 0 {
		ran = engine.Yes
	}
	o := d.classifyError(ctx, err, ran)
	if ran != engine.No && o.ending != wire.Ending_ENDING_CRASHED {
		o.closedByPeer = closedByPeer(err)
		o.resolve = func() wire.Ending { return d.resolve(o.ending) }
	}
	return o
}

// classifyError returns the ending and the error of a dispatch that failed.
func (d *dispatch) classifyError(ctx context.Context, err error, ran engine.Ran) outcome {
	newError := func(kind Code) *Error { return &Error{Op: "dispatch", Kind: kind, Ran: ran, Err: err} }
	switch {
	case errors.Is(err, errCallerConn), ctx.Err() != nil && !d.job.expired():
		return outcome{ending: wire.Ending_ENDING_CANCELLED, err: newError(Cancelled)}
	case ctx.Err() != nil:
		return outcome{ending: wire.Ending_ENDING_CANCELLED, err: newError(Timeout)}
	case d.crashed(err):
		return outcome{ending: wire.Ending_ENDING_CRASHED, err: newError(Crashed)}
	case ran == engine.No:
		return d.classifyRefusal(err, newError)
	default:
		return outcome{ending: wire.Ending_ENDING_BROKEN, err: newError(Broken)}
	}
}

// classifyRefusal returns the outcome of a request that did not run: the
// endpoint found it invalid, did not accept it now, or was not reached.
func (d *dispatch) classifyRefusal(err error, newError func(Code) *Error) outcome {
	o := outcome{ending: wire.Ending_ENDING_REFUSED}
	var cause *engine.Error
	errors.As(err, &cause)
	if cause.Kind == engine.Invalid {
		o.err = newError(BadRequest)
		return o
	}
	if cause.Kind == engine.Unsent {
		o.ending = wire.Ending_ENDING_UNUSED
	}
	o.err = newError(Unavailable)
	o.err.Retry = defaultRetryAfter
	return o
}

// crashed reports whether an endpoint crashed or restarted while it had the
// request: it answered a resumption with another boot number, refused its
// connection, no longer knew an accepted request, or accepted the request and
// closed the last connection. An endpoint that is only unreachable may still be
// running. One that closes the request's connection and those of all resumptions
// counts as crashed, because a request that crashes endpoints must not run again
// before the crash is known.
func (d *dispatch) crashed(err error) bool {
	if errors.Is(err, errRestarted) || d.accepted && closedByPeer(err) {
		return true
	}
	var fault *engine.Error
	if !errors.As(err, &fault) || fault.Op == opOpen {
		return false
	}
	refused := errors.Is(err, syscall.ECONNREFUSED)
	return refused || fault.Kind == engine.Gone && d.accepted
}

// opOpen is the operation in an engine.Error of Open.
const opOpen = "open"
