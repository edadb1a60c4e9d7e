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

// result is what is known after one send: the caller has its answer; it has not
// run; it ran, and the endpoint's failure is kept; it may have run, and no whole
// answer came; the caller left. The comments are the names in log lines.
type result int

const (
	settled result = iota // settled
	unrun                 // not run
	failed                // failed
	unknown               // unknown
	left                  // caller left
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=result -linecomment -output=result_string.go

const (
	mostSends    = 4                     // endpoints that one request is offered to
	leastLeft    = 30 * time.Millisecond // with less time left no endpoint is asked
	plainLimit   = 8 << 20               // bytes of an answer that is no stream
	waitPart     = 3                     // a request waits for a place for at most this part of its time
	waitMost     = 1200 * time.Millisecond
	deadlineRoom = 20 * time.Millisecond // for the way back
	reachLimit   = 400 * time.Millisecond
)

// serve sends a request until it is settled.
func (f *Front) serve(j *job) {
	if f.options.Strikes.Out(j.digest) {
		f.refuse(j, &refusal{http.StatusServiceUnavailable, "endpoints crashed running it", 0})
		return
	}
	ctx, cancel := j.context()
	defer cancel()
	last := &answer{}
	for {
		got, err := f.attempt(ctx, j, last)
		if got == settled {
			return
		}
		if err != nil {
			f.settle(j, last, err)
			return
		}
		if why := f.again(j, got); why != allowed {
			f.options.Log.Info("not sent again", "id", j.id, "reason", why.String(), "result", got.String(), "sends", j.sends, "ran", j.ran,
				"attempts", j.route.Attempts, "left_ms", j.left().Milliseconds(), "spent", j.budget.Spent, "budget", j.budget.Allowed)
			f.settle(j, last, nil)
			return
		}
		f.options.Metrics.retries.WithLabelValues(got.String()).Inc()
	}
}

// answer is a failure that an endpoint gave, kept in case nothing better comes.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends a request once. The error is set where no endpoint took it.
func (f *Front) attempt(ctx context.Context, j *job, last *answer) (result, error) {
	asked := time.Now()
	place, err := f.options.Desk.Acquire(ctx, pick.Ask{
		Service: j.service, Model: j.model, Prompt: j.size.Prompt, Rank: j.rank, Avoid: j.avoid, Limit: min(waitMost, j.left()/waitPart),
		Aim: j.route.Aim - j.spent - time.Since(j.arrived), Back: j.spent > 0, Begun: j.stream.begun,
	})
	waited := time.Since(asked)
	j.waited += waited
	if err != nil {
		j.unplaced(err)
		f.options.Metrics.placed(j.model, unplaced(err).reason, waited)
		if len(j.tried) > 0 {
			f.options.Log.Info("no place for a repeat", "id", j.id, "reason", unplaced(err).reason, "fit", j.fit, "left_ms", j.left().Milliseconds())
		}
		return unrun, err
	}
	if !j.route.Public && j.account != "" && f.options.Age() > f.options.KeyLimit() {
		place.Done(false)
		return unrun, errStale
	}
	f.options.Metrics.placed(j.model, "placed", waited)
	j.tried = append(j.tried, place.Endpoint.ID)
	j.load = place.Load
	j.read = place.Read
	j.fail("", nil)
	got := f.send(ctx, j, place, last)
	f.options.Metrics.sends.WithLabelValues(j.model, place.Endpoint.Domain, got.String()).Inc()
	place.Done(got == unknown || got == unrun || got == failed && last.status >= http.StatusInternalServerError)
	if got != settled {
		j.avoid[place.Endpoint.ID] = true
		f.options.Log.Info("send ended", "id", j.id, "endpoint", place.Endpoint.ID, "result", got.String(),
			"group", place.Endpoint.State.Member.Group, "cause", j.cause, "error", j.fault, "sends", j.sends, "left_ms", j.left().Milliseconds())
	}
	return got, nil
}

// unplaced notes why a request got no place.
func (j *job) unplaced(err error) {
	var refused *pick.Error
	if errors.As(err, &refused) {
		j.queue = refused.Queue
		j.fit = refused.Fit
	}
}

var errStale = errors.New("view too old")

// send offers the request to one endpoint.
func (f *Front) send(ctx context.Context, j *job, place *pick.Place, last *answer) result {
	conn, err := f.options.Pool.Get(ctx, place.Endpoint.Address, j.route.Repeat == site.Once)
	if err != nil {
		if ctx.Err() == nil {
			place.Suspect()
		}
		j.fail("no connection", err)
		return f.ended(j, unrun)
	}
	j.sends++
	silent := f.watch(j, place, conn)
	defer silent.Stop()
	a, err := f.options.Pool.Send(ctx, conn, f.request(j, place.Endpoint))
	if err != nil {
		j.ran++
		j.fail("no answer", err)
		f.crashed(j, place)
		return f.ended(j, unknown)
	}
	defer a.Close()
	j.cause = strconv.Itoa(a.StatusCode)
	if a.Header.Get(platform.HeaderRequest) != j.id && j.id != "" && a.StatusCode < 400 {
		j.ran++
		j.cause = "another request's answer"
		return f.ended(j, unknown)
	}
	if platform.Unrun(a.StatusCode, a.Header) {
		if a.StatusCode == http.StatusMisdirectedRequest {
			place.Suspect()
		}
		return f.ended(j, unrun)
	}
	j.ran++
	if j.route.Repeat == site.Streaming && a.StatusCode == http.StatusOK {
		return f.pass(ctx, j, place, a, silent)
	}
	return f.whole(j, place, a, last)
}

// ended turns a failed send into the caller's leaving where that was its cause.
func (f *Front) ended(j *job, r result) result {
	if j.r.Context().Err() != nil && j.route.Repeat != site.Once {
		return left
	}
	return r
}

// fail notes what ended a send.
func (j *job) fail(cause string, err error) {
	j.cause = cause
	j.fault = ""
	if err != nil {
		j.fault = err.Error()
	}
}

// crashed looks whether an endpoint that broke off a request is gone, unless we
// broke it off. One that still takes connections has not crashed: the path to it
// was cut, or it lost one answer.
func (f *Front) crashed(j *job, place *pick.Place) {
	if j.r.Context().Err() != nil || j.left() <= 0 {
		return
	}
	id, digest, endpoint := j.id, j.digest, place.Endpoint
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reachLimit)
		defer cancel()
		err := f.options.Pool.Reach(ctx, endpoint.Address)
		if err == nil {
			return
		}
		n := f.options.Strikes.Add(digest, endpoint.ID)
		f.options.Log.Info("endpoint crashed", "id", id, "endpoint", endpoint.ID, "crashes", n, "error", err.Error())
	}()
}

// request is what goes to the endpoint.
func (f *Front) request(j *job, e site.Endpoint) conns.Request {
	h := j.header.Clone()
	h.Set(platform.HeaderExpect, e.ID)
	h.Set(platform.HeaderDeadline, strconv.FormatInt(max(1, (j.left()-deadlineRoom).Milliseconds()), 10))
	if j.stream.last != "" {
		h.Set(platform.HeaderLast, j.stream.last)
		h.Set(platform.HeaderRank, "0") // its caller waits in the middle of the stream
	}
	return conns.Request{Method: j.r.Method, Target: j.r.RequestURI, Host: j.r.Host, Header: h, Body: j.body}
}

// whole reads an answer that is no stream and passes it on, or keeps it where a
// repeat may do better.
func (f *Front) whole(j *job, place *pick.Place, a *conns.Answer, last *answer) result {
	body, err := a.All(plainLimit)
	if err != nil {
		j.fail("answer cut short", err)
		f.crashed(j, place)
		return f.ended(j, unknown)
	}
	place.Progress(false)
	if a.StatusCode < 300 && !platform.Signed(a.Header) {
		j.cause = "no signature"
		return f.ended(j, unknown)
	}
	last.status = a.StatusCode
	last.header = platform.Incoming(a.Header)
	last.body = body
	if a.StatusCode >= http.StatusInternalServerError && j.route.Repeatable() {
		return failed
	}
	f.deliver(j, last)
	return settled
}
