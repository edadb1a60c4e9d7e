package entry

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/once"
	"clementinehead.example/chead/tally"
)

// service answers a call to a plain service.
func (e *Entry) service(w http.ResponseWriter, r *http.Request) {
	c, err := e.admitCall(w, r)
	defer func() { c.job.leave() }()
	w.Header().Set(headerRequest, c.job.id)
	if err != nil {
		err.Ran = e.truth(c.job, err)
		e.closeCall(c, err)
		linger(w, r)
		return
	}
	e.metrics.progress.Inc()
	defer e.metrics.progress.Dec()
	ctx, cancel := e.context(r, c.job)
	defer cancel()
	if c.job.once {
		err = e.guard(ctx, c.job, w, c.record, func() *Error { return c.attempt(ctx) })
	} else {
		err = c.attempt(ctx)
	}
	e.closeCall(c, err)
}

// call is one call to a plain service.
type call struct {
	entry   *Entry
	job     *job
	w       http.ResponseWriter
	request *http.Request // the caller's
	target  target
	service conf.Service
	begun   bool
	broken  bool // the answer ended early
	kept    once.Answer
}

// admitCall reads a call and checks it. The call is never nil, nor is its job.
func (e *Entry) admitCall(w http.ResponseWriter, r *http.Request) (*call, *Error) {
	c := &call{entry: e, w: w, request: r, job: &job{leave: func() {}}}
	t, failed := parseTarget(r.URL.EscapedPath())
	if failed != nil {
		return c, reject("admit", BadPath, failed)
	}
	v := e.options.View()
	service, found := v.Document.Services[t.service]
	c.target = t
	c.service = service
	j, err := e.admit(w, r, service.Once)
	c.job = j
	if err != nil {
		return c, err
	}
	if !found {
		return c, reject("admit", NoService, fmt.Errorf("service %q", t.service))
	}
	j.prompt.served = pathServices + t.service
	if !slices.Contains(service.Accounts, j.account) {
		return c, reject("admit", NotAllowed, fmt.Errorf("service %q", t.service))
	}
	if most := j.accepted.Add(time.Duration(service.Timeout)); most.Before(j.deadline) {
		j.deadline = most
	}
	return c, nil
}

// closeCall sends an error, where there is one, and counts the call.
func (e *Entry) closeCall(c *call, err *Error) {
	if err != nil && err != errReplayed && !c.begun {
		refuse(c.w, err, c.job.id)
	}
	if c.job.account != "" {
		e.count(tally.Sample{
			Account: c.job.account,
			Model:   c.job.prompt.name(),
		}, err)
	}
	if c.broken {
		panic(http.ErrAbortHandler)
	}
}
