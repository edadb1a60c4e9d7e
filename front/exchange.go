package front

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"clementinehead.example/chead/conns"
	"clementinehead.example/chead/pick"
	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
)

// exchange is one send of a request to an endpoint. It is opened by one goroutine, then
// passed on to the caller by the request's handler, and closed.
type exchange struct {
	front *Front
	job   *job // only what doesn't change, or is safe for concurrent use, may be used before opened
	slot  *pick.Slot
	from  point // where a stream goes on
	ctx   context.Context
	stop  context.CancelFunc // breaks it off
	began time.Time

	takesOver bool // another send is left for it: its first event must have content

	decided chan struct{} // of a successor: closed once it has proved itself or failed
	givenUp atomic.Bool   // broken off by this daemon, which says nothing of the endpoint
	opened  chan struct{} // closed by open, which sets the fields below

	firstAt   time.Time // when the first event came
	survived  bool      // events came for survivalTime
	idle      int       // bytes since the last event with content
	eventHeld int64     // bytes that the last event counts as held, 0 for a usual one
	begun     bool      // an event was passed on

	result  result          // answered if there is an answer to be passed on
	cause   string          // why it failed, or the answer's status
	errText string          // text of the error that cause stands for, if any
	record  sendRecord      // for the log
	resp    *conns.Response // nil if there is no answer
	reader  *bufio.Reader   // of a stream's events, nil for another answer
	first   event           // of a stream, unless it is empty
	empty   bool            // the stream ended before its first event
	answer  response        // if it isn't a stream
}

// begin counts a try at the endpoint of a slot, which it returns to be opened.
func (f *Front) begin(ctx context.Context, j *job, slot *pick.Slot, from point) *exchange {
	x := &exchange{front: f, job: j, slot: slot, from: from, began: time.Now(), opened: make(chan struct{})}
	x.ctx, x.stop = context.WithCancel(ctx)
	j.tries.begin(slot.Endpoint.ID)
	return x
}

// open sends the request and reads the answer: a stream's up to its first event, another
// one whole.
func (x *exchange) open() {
	defer close(x.opened)
	x.result = x.receive()
	if x.result == notRun {
		x.job.tries.notRun()
	}
	x.result = x.front.orDisconnected(x.job, x.result)
}

// receive does the work of open. Its result doesn't tell whether the caller left.
func (x *exchange) receive() result {
	if x.slot.Peer {
		return x.receiveRelayed()
	}
	f, j := x.front, x.job
	conn, err := f.options.Pool.Get(x.ctx, x.slot.Endpoint.Address, j.needsNewConnection())
	if err != nil {
		if x.ctx.Err() == nil && !x.ranLate(err) {
			x.slot.Suspect()
			f.options.Reach.Failed(x.slot.Endpoint.ID)
		}
		return x.fail(notRun, "no connection", err)
	}
	if j.left() { // while the connection was opened
		_ = conn.Close()
		return x.fail(notRun, errLeft.Error(), nil)
	}
	j.progress.sends.Add(1)
	x.record.served = conn.Served
	resp, err := f.options.Pool.Send(x.ctx, conn, f.request(j, x.slot.Endpoint, x.from))
	if err != nil {
		x.noteUnanswered()
		return x.breaksOff("no answer", err)
	}
	x.resp = resp
	if conn.Served == 0 {
		f.options.Reach.Reached()
	} else {
		f.options.Reach.Heard()
	}
	if err := x.ownAnswer(); errors.Is(err, errOtherAnswer) {
		return x.fail(unknown, errOtherAnswer.Error(), nil)
	} else if err != nil {
		return x.breaksOff("no answer", err)
	}
	x.recordNotices()
	x.cause = strconv.Itoa(resp.StatusCode)
	switch {
	case platform.NotRun(resp.StatusCode, resp.Header):
		if resp.StatusCode == http.StatusMisdirectedRequest {
			x.slot.Suspect()
		}
		return notRun
	case j.route.Repeat == site.Streaming && resp.StatusCode == http.StatusOK:
		return x.readFirst()
	}
	return x.readBody()
}

// ranLate reports whether this process may have run out of time by itself where a
// connection timed out.
func (x *exchange) ranLate(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout() && x.slot.Late() >= maxLate
}

// noteUnanswered records that a new connection ended without an answer, unless this daemon
// ended it.
func (x *exchange) noteUnanswered() {
	if x.record.served == 0 && x.ctx.Err() == nil && !x.givenUp.Load() {
		x.front.options.Reach.Failed(x.slot.Endpoint.ID)
	}
}

// otherKind is the cause of a failure where a stream can't go on with an answer.
const otherKind = "not a stream that goes on"

// readFirst reads the first event of a stream.
func (x *exchange) readFirst() result {
	if !platform.Signed(x.resp.Header) {
		return x.fail(unknown, "no signature", nil)
	}
	x.reader = bufio.NewReaderSize(x.resp.Body, eventBufferSize)
	if !x.continues(x.from) {
		return x.fail(unknown, otherKind, nil)
	}
	e, err := x.firstEvent()
	switch {
	case errors.Is(err, io.EOF):
		x.empty = true
	case err != nil:
		return x.breaksOff("stream cut short", err)
	case !x.follows(x.from, e):
		return x.fail(unknown, "event out of order", nil)
	}
	x.first = e
	return answered
}

// firstEvent returns the first event of a stream, or the first with content, together with
// what comes before it, if another send is left for it. The error is that of next.
func (x *exchange) firstEvent() (event, error) {
	var before []byte
	for {
		e, err := x.next()
		if err != nil || e.content || !x.takesOver {
			e.raw = append(before, e.raw...)
			return e, err
		}
		before = append(before, e.raw...)
	}
}

// readBody reads the body of an answer that is not streamed. An error answer to a
// repeatable request is kept, since a retry may succeed, and so is any where the caller
// has a part of a stream, which it does not continue.
func (x *exchange) readBody() result {
	body, err := x.readAnswer()
	if err != nil {
		return x.notWhole(err)
	}
	x.front.options.Reach.Heard()
	x.slot.Progress(false)
	status := x.resp.StatusCode
	if status < 300 && !platform.Signed(x.resp.Header) {
		return x.fail(unknown, "no signature", nil)
	}
	x.answer = response{status, platform.Incoming(x.resp.Header), body}
	if x.from.headSent || status >= http.StatusInternalServerError && x.job.route.Repeatable() {
		x.job.tries.keep(x.answer)
		return failed
	}
	return answered
}

// fail records why the exchange failed, and returns the result r.
func (x *exchange) fail(r result, cause string, err error) result {
	x.cause = cause
	x.errText = ""
	if err != nil {
		x.errText = err.Error()
	}
	return r
}

// breaksOff records that the exchange ended with an error of its connection. The result
// is unknown.
func (x *exchange) breaksOff(cause string, err error) result {
	switch {
	case x.slot.Peer:
		x.job.tries.useUp(x.job.route.Attempts)
	case !x.givenUp.Load():
		x.front.checkCrash(x.job, x.slot, x.survived)
	}
	return x.fail(unknown, cause, err)
}

// end releases the connection and the slot, and logs and counts the result.
func (x *exchange) end(got result) {
	if x.resp != nil {
		x.resp.Close()
	}
	x.freeEvent()
	x.stop()
	f, j, e := x.front, x.job, x.slot.Endpoint
	f.options.Metrics.sends.WithLabelValues(j.model, e.Domain, got.String()).Inc()
	if got == disconnected || x.givenUp.Load() {
		x.slot.Left()
	} else {
		x.slot.Done(got == unknown || got == notRun || got == failed && x.answer.status >= http.StatusInternalServerError)
	}
	if got == answered {
		return
	}
	j.tries.fail(e.ID)
	f.options.Log.Info("send ended", "id", j.id, "endpoint", e.ID, "result", got.String(),
		"group", e.State.Member.Group, "cause", x.cause, "error", x.errText, "sends", j.progress.sends.Load(), "left_ms", j.remaining().Milliseconds(),
		"served", x.record.served, "answer_id", x.record.answerID)
}
