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
	defer func() { c.job.releaseCapacity() }()
	w.Header().Set(headerRequest, c.job.id)
	if err != nil {
		err.Ran = e.ranSoFar(c.job, err)
		e.finishCall(c, err)
		linger(w, r)
		return
	}
	e.metrics.inProgress.Inc()
	defer e.metrics.inProgress.Dec()
	ctx, cancel := e.jobContext(r, c.job)
	defer cancel()
	if c.job.atMostOnce {
		err = e.runOnce(ctx, c.job, w, c.recordedAnswer, func() *Error { return c.callWithRetries(ctx) })
	} else {
		err = c.callWithRetries(ctx)
	}
	e.finishCall(c, err)
}

// call is one call to a plain service.
type call struct {
	entry     *Entry
	job       *job
	w         http.ResponseWriter
	request   *http.Request // from the caller
	target    target
	service   conf.Service
	started   bool        // the answer's header was written
	truncated bool        // the answer ended early
	recorded  once.Answer // beginning of the answer, for later attempts
}

// admitCall reads and checks a call. It always returns a call with a job.
func (e *Entry) admitCall(w http.ResponseWriter, r *http.Request) (*call, *Error) {
	c := &call{entry: e, w: w, request: r, job: &job{releaseCapacity: func() {}}}
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
	j.completion.servedModel = pathServices + t.service
	if !slices.Contains(service.Accounts, j.account) {
		return c, reject("admit", NotAllowed, fmt.Errorf("service %q", t.service))
	}
	if limit := j.accepted.Add(time.Duration(service.Timeout)); limit.Before(j.deadline) {
		j.deadline = limit
	}
	return c, nil
}

// finishCall writes an error, where there is one, and counts the call.
func (e *Entry) finishCall(c *call, err *Error) {
	if err != nil && err != errReplayed && !c.started {
		refuse(c.w, err, c.job.id)
	}
	if c.job.account != "" {
		e.count(tally.Sample{
			Account: c.job.account,
			Model:   c.job.completion.modelName(),
		}, err)
	}
	if c.truncated {
		panic(http.ErrAbortHandler)
	}
}
