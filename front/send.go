package front

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"strings"
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
//   - handedOn: another goroutine goes on with the try.
type result int

const (
	answered     result = iota // settled
	notRun                     // not run
	failed                     // failed
	unknown                    // unknown
	disconnected               // caller left
	handedOn                   // handed on
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=result -linecomment -output=result_string.go

const (
	maxTries       = 4                       // tries per request, whatever their results
	minRemaining   = 30 * time.Millisecond   // least remaining time for a retry
	responseLimit  = 8 << 20                 // bytes of a response that is not streamed
	waitDivisor    = 3                       // a try waits for a slot for at most the remaining time divided by this, unless it may have run
	maxWait        = 1200 * time.Millisecond // longest wait of a try for a slot, unless it may have run
	deadlineMargin = 20 * time.Millisecond   // subtracted from the deadline sent to endpoints, for the response's way back
	maxLate        = 200 * time.Millisecond  // lateness of this process from which a connection that timed out says nothing of the endpoint
	confirmTimeout = 2 * time.Second         // longest wait for it to be known whether endpoints are reached
	probeTimeout   = 400 * time.Millisecond  // for the connection that shows whether an endpoint crashed
)

// serve tries a request until it is answered or no retry is allowed, and sends the
// caller the final response. It refuses a request that has crashed endpoints.
func (f *Front) serve(j *job) {
	if f.options.Crashes.Blocked(j.digest) {
		f.refuse(j, &refusal{http.StatusServiceUnavailable, "endpoints crashed running it", 0, false})
		return
	}
	if part := f.options.Parts.Refused(j.parts); part != "" {
		f.refuse(j, &refusal{http.StatusServiceUnavailable, errPart.Error(), 0, false})
		return
	}
	ctx, cancel := j.context()
	defer j.successors.Wait()
	defer cancel()
	if f.reached(ending) {
		cancel() // Answer may have come too soon to do so
	}
	defer j.boundWrites(ctx)()
	j.expectAfterLast()
	got, err := f.run(ctx, j, nil)
	if got == handedOn {
		got, err = f.drain(j)
	}
	switch {
	case got != answered:
		f.finish(j, err)
	case j.status != 0:
		f.logEnd(j, "served", j.status, "")
	}
}

// run tries a request until it is answered or no retry is allowed, or until another
// goroutine goes on with that. It goes on with the stream of an exchange if that isn't nil.
// The error is that of the last try.
func (f *Front) run(ctx context.Context, j *job, x *exchange) (result, error) {
	for {
		got, err := unknown, error(nil)
		if x != nil {
			got = f.endTry(j, x, f.forwardStream(ctx, j, x))
			x = nil
		} else {
			got, err = f.try(ctx, j)
		}
		if got == answered || got == handedOn || err != nil {
			return got, err
		}
		if j.successor != nil {
			continue // permitted and counted when it was sent
		}
		if reason := f.checkRetry(j, got); reason != allowed {
			_, ran := j.tries.counts()
			f.options.Log.Info("not sent again", "id", j.id, "reason", reason.String(), "result", got.String(), "sends", j.progress.sends.Load(), "ran", ran,
				"attempts", j.route.Attempts, "left_ms", j.remaining().Milliseconds(), "spent", j.retry.Used, "budget", j.retry.Limit,
				"asked", j.retry.Requests, "shares", j.retry.Shares, "whole_spent", round(j.retry.Whole.Retries), "whole_budget", round(j.retry.Whole.Limit))
			return got, nil
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

// try goes on with the successor of the last send, or gets a slot for a request and
// sends it once. The error is not nil if there was no slot, or if the snapshot became
// too old while the request waited.
func (f *Front) try(ctx context.Context, j *job) (result, error) {
	x := j.successor
	if x == nil {
		slot, err := f.place(ctx, j)
		if err != nil {
			return notRun, err
		}
		x = f.begin(ctx, j, slot, j.stream.point)
	}
	j.progress.endpoint.Store(&x.slot.Endpoint.ID)
	j.load = x.slot.Load
	j.prefill = x.slot.ReadTime
	j.watch = f.watchStall(ctx, j, x)
	if j.successor == nil {
		x.open()
	}
	<-x.opened
	j.served = x.record.served
	got := x.result
	if got == answered {
		got = f.forward(ctx, j, x)
	}
	return f.endTry(j, x, got), nil
}

// endTry ends a try with a result, unless another goroutine goes on with it.
func (f *Front) endTry(j *job, x *exchange, got result) result {
	if got == handedOn {
		return got
	}
	successor, left := j.watch.inherit()
	if left {
		x.fail(got, "left for another endpoint", nil)
	}
	x.end(got)
	j.successor = successor
	return got
}

// forward passes the answer of an exchange on to the caller.
func (f *Front) forward(ctx context.Context, j *job, x *exchange) result {
	if !x.continues(j.stream.point) {
		return x.fail(unknown, otherKind, nil)
	}
	if x.reader != nil {
		return f.forwardStream(ctx, j, x)
	}
	if !j.watch.settle() {
		return f.orDisconnected(j, unknown)
	}
	f.deliver(j, x.answer)
	return answered
}

// recordNotices records what the response states of its endpoint: that it leaves, that
// it wants no requests for a time, how many it has, or how many it takes. It comes before the response is
// passed on, since callers count from then on.
func (x *exchange) recordNotices() {
	h := x.resp.Header
	if platform.Leaving(h) {
		x.slot.Leave()
	}
	if pause := platform.Pause(x.resp.StatusCode, h); pause > 0 {
		x.slot.Pause(pause)
	}
	if load, stated := platform.ParseLoad(h); stated && x.resp.StatusCode != http.StatusMisdirectedRequest {
		x.slot.State(load.Running + load.Waiting)
	}
	x.recordLimit()
}

// recordLimit records the limit that the response states. That it states none counts only
// if the endpoint made the response, and not in a response that refuses the request.
func (x *exchange) recordLimit() {
	h := x.resp.Header
	rate, err := platform.Limit(h)
	switch {
	case err != nil:
		x.front.options.Log.Info("limit not understood", "id", x.job.id, "endpoint", x.slot.Endpoint.ID, "error", err.Error())
	case !math.IsInf(rate, 1):
		x.slot.Limit(rate)
	case platform.Signed(h) && !platform.NotRun(x.resp.StatusCode, h):
		x.slot.EndLimit(x.began)
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

// probe returns an error if an endpoint accepts no connections.
func (f *Front) probe(e site.Endpoint) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return f.options.Pool.Probe(ctx, e.Address)
}

// confirmPath reports whether endpoints are reached, since a reading of reach.Reach.Now.
func (f *Front) confirmPath(since time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	return f.options.Reach.Confirm(ctx, since)
}

// checkCrash probes in the background an endpoint that broke off a request, and
// records a crash if it accepts no connections. An endpoint that does has not
// crashed: the path to it was cut, or it lost a single response. Nor has one while this
// daemon reaches no other endpoint either. There is no probe
// if this daemon broke off the request itself, when the caller disconnected, the
// deadline passed or the daemon stops. A request that had survived there is no suspect for
// its parts.
func (f *Front) checkCrash(j *job, slot *pick.Slot, survived bool) {
	if j.r.Context().Err() != nil || j.remaining() <= 0 || f.reached(ending) {
		return
	}
	id, digest, endpoint, parts, events := j.id, j.digest, slot.Endpoint, j.parts, j.progress.events.Load()
	brokeOff := time.Now()
	go func() {
		err := f.probe(endpoint)
		if err == nil {
			return
		}
		// An answer from before the probe failed says nothing of a path that was cut since.
		if !f.confirmPath(f.options.Reach.Now()) {
			f.options.Log.Info("crash not counted", "id", id, "endpoint", endpoint.ID, "error", err.Error())
			return
		}
		n := f.options.Crashes.Add(digest, endpoint.ID)
		if !survived {
			f.options.Parts.Crash(parts, id, brokeOff)
		}
		f.options.Log.Info("endpoint crashed", "id", id, "endpoint", endpoint.ID, "crashes", n, "parts", strings.Join(parts, ","), "events", events, "error", err.Error())
	}()
}

// request returns the request to be sent to an endpoint, for the answer from a point on.
func (f *Front) request(j *job, e site.Endpoint, from point) conns.Request {
	h := j.header.Clone()
	h.Set(platform.HeaderExpectInstance, e.ID)
	h.Set(platform.HeaderDeadline, strconv.FormatInt(max(1, (j.remaining()-deadlineMargin).Milliseconds()), 10))
	if from.lastID != "" {
		h.Set(platform.HeaderLastEvent, from.lastID)
		h.Set(platform.HeaderPriority, "0") // most urgent: the caller waits in the middle of a stream
	}
	return conns.Request{Method: j.r.Method, Target: j.r.RequestURI, Host: j.r.Host, Header: h, Body: j.body}
}
