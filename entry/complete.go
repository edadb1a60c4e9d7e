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
	defer func() { j.leave() }()
	if j.id != "" {
		w.Header().Set(headerRequest, j.id)
	}
	if err != nil {
		err.Ran = e.truth(j, err)
		e.close(j, err, w, nil)
		linger(w, r)
		return
	}
	e.metrics.progress.Inc()
	defer e.metrics.progress.Dec()
	ctx, cancel := e.context(r, j)
	defer cancel()
	a := newAnswer(w, j, time.Duration(j.view.Document.Limits.Gap))
	if j.once {
		err = e.guard(ctx, j, w, a.record, func() *Error { return e.attempt(ctx, j, a) })
	} else {
		err = e.attempt(ctx, j, a)
	}
	e.close(j, err, w, a)
}

// admitCompletion reads a request and checks it. The job is never nil.
func (e *Entry) admitCompletion(w http.ResponseWriter, r *http.Request) (*job, *Error) {
	j, err := e.admit(w, r, false)
	if err != nil {
		return j, err
	}
	p, body, err := parsePrompt(j.body, j.view.Document.Limits)
	if err != nil {
		return j, err
	}
	text, _ := engine.Prompt(j.body) // no prefix where the prompt isn't text
	p.prefix = engine.Blocks(text)
	if err := offers(j.view, j.account, p.model); err != nil {
		return j, err // the report keeps no names that callers made up
	}
	j.prompt = p
	j.body = body
	return j, nil
}

// admit reads what all requests have in common. Once says whether they are
// not repeatable unless a caller says otherwise.
func (e *Entry) admit(w http.ResponseWriter, r *http.Request, once bool) (*job, *Error) {
	j := &job{view: e.options.View(), accepted: time.Now(), path: r.URL.Path, once: once, leave: func() {}}
	account, ok := e.keys.account(j.view, r)
	if !ok {
		return j, reject("admit", BadKey, nil)
	}
	j.account = account
	j.settings = j.view.Document.Accounts[account]
	if err := e.identify(j, r); err != nil {
		return j, err
	}
	if err := e.enter(j, r); err != nil {
		return j, err
	}
	if err := readBody(j, w, r); err != nil {
		return j, err
	}
	j.print = fingerprint(account, r.Method+" "+r.URL.RequestURI(), j.body)
	return j, nil
}

// enter counts a job into the daemon's room. The job's leave takes it out.
func (e *Entry) enter(j *job, r *http.Request) *Error {
	j.size = admitted(r.ContentLength, j.view.Document.Limits.Body)
	j.leave = func() { e.room.give(j.size) }
	if e.room.take(j.size) {
		return nil
	}
	err := reject("admit", Busy, nil)
	err.Retry = defaultBack
	return err
}

// offers tells a model that an account may not use from one that there isn't.
func offers(v *view.View, account, model string) *Error {
	if len(v.Offers(account, model)) > 0 {
		return nil
	}
	for key, group := range v.Document.Groups {
		if model == key || model == view.Offer(group) {
			return reject("admit", NotAllowed, fmt.Errorf("model %q", model))
		}
	}
	return reject("admit", NoModel, fmt.Errorf("model %q", model))
}

// context ends with the job's deadline, and with the caller's connection where
// the job may be repeated. A not-repeatable one goes on without its caller.
func (e *Entry) context(r *http.Request, j *job) (context.Context, context.CancelFunc) {
	ctx := r.Context()
	if j.once {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, j.deadline)
}

// over returns an error where nobody waits for a job any more.
func (e *Entry) over(ctx context.Context, j *job) *Error {
	if j.late() {
		return reject("admit", Timeout, nil)
	}
	if ctx.Err() != nil {
		return reject("admit", Cancelled, nil)
	}
	return nil
}

// close sends an error, where there is one, and counts the request.
func (e *Entry) close(j *job, err *Error, w http.ResponseWriter, a *answer) {
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
		err = a.end(err)
	}
	e.count(tally.Sample{
		Account: j.account,
		Model:   j.prompt.name(),
		Adapter: j.prompt.adapter,
		Version: j.prompt.version,
		Tokens:  a.times.tokens,
		First:   a.times.first,
		Gaps:    a.times.gaps,
	}, err)
}
