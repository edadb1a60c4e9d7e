package front

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"clementinehead.example/chead/conns"
	"clementinehead.example/chead/pick"
	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
)

// result is the result of one try. The line comments are the names in the log.
//
//   - answered: the caller was sent the response.
//   - notRun: the request has not run.
//   - failed: it ran, and the endpoint's error response is kept.
//   - unknown: it may have run, and no complete response was received.
//   - disconnected: the caller disconnected.
type result int

const (
	answered     result = iota // settled
	notRun                     // not run
	failed                     // failed
	unknown                    // unknown
	disconnected               // caller left
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=result -linecomment -output=result_string.go

const (
	maxTries       = 4                       // tries per request, whatever their results
	minRemaining   = 30 * time.Millisecond   // least remaining time for a retry
	responseLimit  = 8 << 20                 // bytes of a response that is not streamed
	waitDivisor    = 3                       // a try waits for a slot for at most the remaining time divided by this, unless its stream has begun
	maxWait        = 1200 * time.Millisecond // longest wait of a try for a slot, unless its stream has begun
	deadlineMargin = 20 * time.Millisecond   // subtracted from the deadline sent to endpoints, for the response's way back
	probeTimeout   = 400 * time.Millisecond  // for the connection that shows whether an endpoint crashed
)

// serve tries a request until it is answered or no retry is allowed, and sends the
// caller the final response. It refuses a request that has crashed endpoints.
func (f *Front) serve(j *job) {
	if f.options.Crashes.Blocked(j.digest) {
		f.refuse(j, &refusal{http.StatusServiceUnavailable, "endpoints crashed running it", 0})
		return
	}
	ctx, cancel := j.context()
	defer cancel()
	defer j.releaseSuccessor()
	last := &response{}
	for {
		got, err := f.try(ctx, j, last)
		if got == answered {
			return
		}
		if err != nil {
			f.finish(j, last, err)
			return
		}
		if reason := f.checkRetry(j, got); reason != allowed {
			f.options.Log.Info("not sent again", "id", j.id, "reason", reason.String(), "result", got.String(), "sends", j.sends, "ran", j.ran,
				"attempts", j.route.Attempts, "left_ms", j.remaining().Milliseconds(), "spent", j.retry.Used, "budget", j.retry.Limit)
			f.finish(j, last, nil)
			return
		}
		f.options.Metrics.retries.WithLabelValues(got.String()).Inc()
	}
}

// response is a complete response of an endpoint. An error response is kept during
// retries, and sent to the caller if none of them succeeds.
type response struct {
	status int
	header http.Header
	body   []byte
}

// try gets a slot for a request and sends it once. The error is not nil if
// there was no slot, or if the snapshot became too old while the request waited.
func (f *Front) try(ctx context.Context, j *job, last *response) (result, error) {
	start := time.Now()
	slot, err := f.place(ctx, j)
	waited := time.Since(start)
	j.waited += waited
	if err != nil {
		j.recordQueue(err)
		f.options.Metrics.observeWait(j.model, refusalFor(err).reason, waited)
		if len(j.tried) > 0 {
			f.options.Log.Info("no place for a repeat", "id", j.id, "reason", refusalFor(err).reason, "fit", j.eligible, "left_ms", j.remaining().Milliseconds())
		}
		return notRun, err
	}
	if f.isStaleFor(j) {
		slot.Cancel()
		return notRun, errStale
	}
	f.options.Metrics.observeWait(j.model, "placed", waited)
	j.tried = append(j.tried, slot.Endpoint.ID)
	j.progress.endpoint.Store(&slot.Endpoint.ID)
	j.load = slot.Load
	j.prefill = slot.ReadTime
	j.setCause("", nil)
	got := f.send(ctx, j, slot, last)
	if j.successor = j.watch.take(); j.successor != nil && got != answered {
		j.setCause("left for another endpoint", nil)
	}
	j.watch = nil
	f.options.Metrics.sends.WithLabelValues(j.model, slot.Endpoint.Domain, got.String()).Inc()
	if got == disconnected {
		slot.Left()
	} else {
		slot.Done(got == unknown || got == notRun || got == failed && last.status >= http.StatusInternalServerError)
	}
	if got != answered {
		j.avoid[slot.Endpoint.ID] = true
		f.options.Log.Info("send ended", "id", j.id, "endpoint", slot.Endpoint.ID, "result", got.String(),
			"group", slot.Endpoint.State.Member.Group, "cause", j.cause, "error", j.errText, "sends", j.sends, "left_ms", j.remaining().Milliseconds(),
			"served", j.lastSend.served, "answer_id", j.lastSend.answerID)
	}
	return got, nil
}

// recordQueue records the state of the queue in which a request got no slot.
func (j *job) recordQueue(err error) {
	var refused *pick.Error
	if errors.As(err, &refused) {
		j.queue = refused.State
		j.eligible = refused.Eligible
	}
}

// errStale is the error of a try whose account can't be confirmed any more, since
// the snapshot became too old while the request waited for a slot.
var errStale = errors.New("view too old")

// send sends the request to the endpoint of a slot and forwards its response.
func (f *Front) send(ctx context.Context, j *job, slot *pick.Slot, last *response) result {
	conn, err := f.connection(ctx, j, slot)
	if err != nil {
		if ctx.Err() == nil {
			slot.Suspect()
		}
		j.lastSend = sendRecord{}
		j.setCause("no connection", err)
		return f.orDisconnected(j, notRun)
	}
	j.sends++
	j.lastSend = sendRecord{served: conn.Served}
	j.progress.sends.Add(1)
	monitor := f.watchStall(ctx, j, slot, conn)
	defer monitor.Stop()
	resp, err := f.options.Pool.Send(ctx, conn, f.request(j, slot.Endpoint))
	if err == nil {
		defer resp.Close()
		defer monitor.Stop() // a send that has ended is not left any more
		err = f.ownAnswer(j, slot, resp)
	}
	if err != nil {
		j.ran++
		return f.unanswered(j, slot, err)
	}
	recordNotices(slot, resp)
	j.cause = strconv.Itoa(resp.StatusCode)
	if platform.NotRun(resp.StatusCode, resp.Header) {
		if resp.StatusCode == http.StatusMisdirectedRequest {
			slot.Suspect()
		}
		return f.orDisconnected(j, notRun)
	}
	j.ran++
	if j.route.Repeat == site.Streaming && resp.StatusCode == http.StatusOK {
		j.expectAfterLast()
		return f.forwardStream(ctx, j, slot, resp, monitor)
	}
	return f.forwardBody(j, slot, resp, last)
}

// recordNotices records what a response states of its endpoint: that it leaves, or
// that it wants no requests for a time. It comes before the response is passed on,
// since callers count from then on.
func recordNotices(slot *pick.Slot, resp *conns.Response) {
	if platform.Leaving(resp.Header) {
		slot.Leave()
	}
	if pause := platform.Pause(resp.StatusCode, resp.Header); pause > 0 {
		slot.Pause(pause)
	}
}

// orDisconnected returns disconnected if the caller's disconnecting may have ended
// a try, and otherwise the result r. A request that may run only once goes on after
// its caller has disconnected.
func (f *Front) orDisconnected(j *job, r result) result {
	if j.r.Context().Err() != nil && j.route.Repeat != site.Once {
		return disconnected
	}
	return r
}

// setCause records why a try failed.
func (j *job) setCause(cause string, err error) {
	j.cause = cause
	j.errText = ""
	if err != nil {
		j.errText = err.Error()
	}
}

// checkCrash probes in the background an endpoint that broke off a request, and
// records a crash if it accepts no connections. An endpoint that does has not
// crashed: the path to it was cut, or it lost a single response. There is no probe
// if this daemon broke off the request itself, when the caller disconnected, the
// deadline passed or the daemon stops.
func (f *Front) checkCrash(j *job, slot *pick.Slot) {
	if j.r.Context().Err() != nil || j.remaining() <= 0 || f.reached(ending) {
		return
	}
	id, digest, endpoint := j.id, j.digest, slot.Endpoint
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		err := f.options.Pool.Probe(ctx, endpoint.Address)
		if err == nil {
			return
		}
		n := f.options.Crashes.Add(digest, endpoint.ID)
		f.options.Log.Info("endpoint crashed", "id", id, "endpoint", endpoint.ID, "crashes", n, "error", err.Error())
	}()
}

// request returns the request to be sent to an endpoint.
func (f *Front) request(j *job, e site.Endpoint) conns.Request {
	h := j.header.Clone()
	h.Set(platform.HeaderExpectInstance, e.ID)
	h.Set(platform.HeaderDeadline, strconv.FormatInt(max(1, (j.remaining()-deadlineMargin).Milliseconds()), 10))
	if j.stream.lastID != "" {
		h.Set(platform.HeaderLastEvent, j.stream.lastID)
		h.Set(platform.HeaderPriority, "0") // most urgent: the caller waits in the middle of a stream
	}
	return conns.Request{Method: j.r.Method, Target: j.r.RequestURI, Host: j.r.Host, Header: h, Body: j.body}
}

// forwardBody reads the body of a response that is not streamed and sends the
// response to the caller. An error response to a repeatable request is kept in last
// instead, since a retry may succeed, and so is any where the caller has a part of a
// stream, which it does not continue.
func (f *Front) forwardBody(j *job, slot *pick.Slot, resp *conns.Response, last *response) result {
	body, err := resp.ReadAll(responseLimit)
	if err != nil {
		j.setCause("answer cut short", err)
		f.checkCrash(j, slot)
		return f.orDisconnected(j, unknown)
	}
	slot.Progress(false)
	if resp.StatusCode < 300 && !platform.Signed(resp.Header) {
		j.cause = "no signature"
		return f.orDisconnected(j, unknown)
	}
	last.status = resp.StatusCode
	last.header = platform.Incoming(resp.Header)
	last.body = body
	if j.stream.headSent || resp.StatusCode >= http.StatusInternalServerError && j.route.Repeatable() {
		return failed
	}
	f.deliver(j, last)
	return answered
}
