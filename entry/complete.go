package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/tally"
	"clementinehead.example/chead/view"
)

// complete answers a completion or a chat completion.
func (e *Entry) complete(w http.ResponseWriter, r *http.Request) {
	j, err := e.admitCompletion(w, r)
	defer func() { j.releaseCapacity() }()
	if j.id != "" {
		w.Header().Set(headerRequest, j.id)
	}
	if err != nil {
		err.Ran = e.ranSoFar(j, err)
		e.finish(j, err, w, nil)
		linger(w, r)
		return
	}
	e.metrics.inProgress.Inc()
	defer e.metrics.inProgress.Dec()
	ctx, cancel := e.jobContext(r, j)
	defer cancel()
	a := newAnswer(w, j, time.Duration(j.view.Document.Limits.Gap), e.answers)
	defer a.assembler.release()
	if j.atMostOnce {
		err = e.runOnce(ctx, j, w, a.recordedAnswer, func() *Error { return e.dispatchWithRetries(ctx, j, a) })
	} else {
		err = e.dispatchWithRetries(ctx, j, a)
	}
	e.finish(j, err, w, a)
}

// admitCompletion reads and checks a completion. It always returns a job.
func (e *Entry) admitCompletion(w http.ResponseWriter, r *http.Request) (*job, *Error) {
	j, err := e.admit(w, r, false)
	if err != nil {
		return j, err
	}
	p, body, err := parseCompletion(j.body, j.view.Document.Limits)
	if err != nil {
		return j, err
	}
	text, _ := engine.Prompt(j.body) // without a prefix where the prompt isn't text
	p.prefix = engine.Blocks(text)
	if err := checkModel(j.view, j.account, p.model); err != nil {
		return j, err // the usage report must not contain model names that callers made up
	}
	j.completion = p
	j.body = body
	return j, nil
}

// admit reads and checks the parts that all requests have in common. AtMostOnce
// is the default where the request's headers don't say whether it is
// repeatable.
func (e *Entry) admit(w http.ResponseWriter, r *http.Request, atMostOnce bool) (*job, *Error) {
	j := &job{view: e.options.View(), accepted: time.Now(), path: r.URL.Path, atMostOnce: atMostOnce, releaseCapacity: func() {}}
	account, ok := e.keyring.account(j.view, r)
	if !ok {
		return j, reject("admit", BadKey, nil)
	}
	j.account = account
	j.settings = j.view.Document.Accounts[account]
	if err := e.readHeaders(j, r); err != nil {
		return j, err
	}
	if err := e.reserveCapacity(j, r); err != nil {
		return j, err
	}
	if err := readBody(j, w, r); err != nil {
		return j, err
	}
	j.fingerprint = fingerprint(account, r.Method+" "+r.URL.RequestURI(), j.body)
	return j, nil
}

// reserveCapacity reserves a part of the daemon's capacity for a job. The job's
// releaseCapacity releases it.
func (e *Entry) reserveCapacity(j *job, r *http.Request) *Error {
	j.reserved = bodySize(r.ContentLength, j.view.Document.Limits.Body)
	j.releaseCapacity = func() { e.capacity.release(j.reserved) }
	if e.capacity.reserve(j.reserved) {
		return nil
	}
	err := reject("admit", Busy, nil)
	err.Retry = defaultRetryAfter
	return err
}

// checkModel returns an error that differs for a model that doesn't exist and
// one that the account may not use.
func checkModel(v *view.View, account, model string) *Error {
	if len(v.GroupsServing(account, model)) > 0 {
		return nil
	}
	for key, group := range v.Document.Groups {
		if model == key || model == view.ModelName(group) {
			return reject("admit", NotAllowed, fmt.Errorf("model %q", model))
		}
	}
	return reject("admit", NoModel, fmt.Errorf("model %q", model))
}

// jobContext returns a context that ends at the job's deadline, and with the
// caller's connection where the job is repeatable. Another job continues
// without its caller, so that its answer can be recorded.
func (e *Entry) jobContext(r *http.Request, j *job) (context.Context, context.CancelFunc) {
	ctx := r.Context()
	if j.atMostOnce {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, j.deadline)
}

// checkActive returns an error where the deadline has passed or the caller has
// disconnected.
func (e *Entry) checkActive(ctx context.Context, j *job) *Error {
	if j.expired() {
		return reject("admit", Timeout, nil)
	}
	if ctx.Err() != nil {
		return reject("admit", Cancelled, nil)
	}
	return nil
}

// finish writes an error, where there is one, and counts the request.
func (e *Entry) finish(j *job, err *Error, w http.ResponseWriter, a *answer) {
	if a == nil && err != nil {
		refuse(w, err, j.id)
	}
	if j.account == "" {
		e.metrics.requests.WithLabelValues(err.Kind.String()).Inc()
		return
	}
	if a == nil {
		a = &answer{}
	} else {
		err = a.finishWith(err)
	}
	e.count(tally.Sample{
		Account:    j.account,
		Model:      j.completion.modelName(),
		Adapter:    j.completion.adapter,
		Version:    j.completion.version,
		Tokens:     a.timing.tokens,
		FirstToken: a.timing.first,
		TokenGaps:  a.timing.gaps,
	}, err)
}
