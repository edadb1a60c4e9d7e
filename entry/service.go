package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/engine"
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

// attempt makes the call, and makes it again at another address where that is
// right.
func (c *call) attempt(ctx context.Context) *Error {
	j := c.job
	c.entry.budget.earn(j.account, j.view.Document.Limits.Retries)
	left := slices.Clone(c.service.Addresses)
	ran := engine.No
	for {
		address, err := c.place(ctx, left)
		if err == nil {
			err = c.call(ctx, address)
			c.entry.loads.give(address)
		}
		if err == nil {
			return nil
		}
		ran = max(ran, err.Ran)
		err.Ran = ran
		left = slices.DeleteFunc(left, func(a string) bool { return a == address })
		if !c.again(ctx, ran, left) {
			return err
		}
		c.entry.metrics.retries.WithLabelValues(err.Kind.String()).Inc()
	}
}

func (c *call) again(ctx context.Context, ran engine.Ran, left []string) bool {
	if ctx.Err() != nil || c.begun || len(left) == 0 {
		return false
	}
	if ran != engine.No && c.job.once {
		return false
	}
	return c.entry.budget.spend(c.job.account)
}

// place picks the address with the fewest calls in progress.
func (c *call) place(ctx context.Context, addresses []string) (string, *Error) {
	if err := c.entry.over(ctx, c.job); err != nil {
		return "", err
	}
	if c.job.once && c.job.outlived() {
		return "", reject("call", Timeout, nil)
	}
	address, ok := c.entry.loads.take(addresses, c.service.Inflight)
	if !ok {
		err := reject("call", Busy, nil)
		err.Retry = defaultBack
		return "", err
	}
	return address, nil
}

// call makes the call at one address and passes the answer on.
func (c *call) call(ctx context.Context, address string) *Error {
	request, err := c.outgoing(ctx, address)
	if err != nil {
		return reject("call", BadRequest, err)
	}
	do := c.entry.options.Plain
	if c.job.once {
		do = c.entry.options.Fresh
		c.entry.seen.add(c.job.record())
	}
	response, err := do(request)
	if err != nil {
		return c.failed(ctx, err, unsent(err))
	}
	defer response.Body.Close()
	head, err := io.ReadAll(io.LimitReader(response.Body, once.MaxKept+1))
	if err != nil {
		return c.failed(ctx, err, engine.Yes)
	}
	return c.pass(ctx, response, head)
}

// outgoing makes the request for a service. GetBody is unset, so that no
// transport sends it twice.
func (c *call) outgoing(ctx context.Context, address string) (*http.Request, error) {
	link := "http://" + address + c.target.path
	if c.request.URL.RawQuery != "" {
		link += "?" + c.request.URL.RawQuery
	}
	var body io.Reader
	if len(c.job.body) > 0 {
		body = io.NopCloser(bytes.NewReader(c.job.body))
	}
	request, err := http.NewRequestWithContext(ctx, c.request.Method, link, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(c.job.body))
	request.Header = forward(c.request.Header, owned...)
	request.Header.Set(headerRequest, c.job.id)
	request.Header.Set(headerAccount, c.job.account)
	if c.request.UserAgent() == "" {
		request.Header.Set("User-Agent", "")
	}
	return request, nil
}

// unsent returns what a transport's error says of the request.
func unsent(err error) engine.Ran {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return engine.No
	}
	return engine.Unknown
}

func (c *call) failed(ctx context.Context, err error, ran engine.Ran) *Error {
	fault := &Error{Op: "call", Kind: Broken, Ran: ran, Err: err}
	switch {
	case c.job.late():
		fault.Kind = Timeout
	case ctx.Err() != nil:
		fault.Kind = Cancelled
	case ran == engine.No:
		fault.Kind = Unavailable
		fault.Retry = defaultBack
	}
	return fault
}

// pass sends the answer: head, which was read already, and the rest. An answer
// that ends early is cut off, so that the caller doesn't take it for whole.
func (c *call) pass(ctx context.Context, response *http.Response, head []byte) *Error {
	c.begun = true
	for name, values := range forward(response.Header, headerRequest, "Content-Length") {
		c.w.Header()[name] = values
	}
	if response.ContentLength >= 0 {
		c.w.Header().Set("Content-Length", fmt.Sprint(response.ContentLength))
	}
	c.kept = once.Answer{Status: response.StatusCode, Type: response.Header.Get("Content-Type"), Body: head}
	control := http.NewResponseController(c.w)
	_ = control.SetWriteDeadline(c.job.deadline) // in-memory writers have none
	c.w.WriteHeader(response.StatusCode)
	_, failed := c.w.Write(head)
	if len(head) > once.MaxKept {
		_, failed = io.Copy(c.w, response.Body)
	}
	if failed == nil {
		return nil
	}
	c.broken = true
	if c.job.once {
		return nil // it ran, and the answer is kept as far as there is room
	}
	return c.failed(ctx, errors.Join(errCaller, failed), engine.Yes)
}

// record returns the answer as it is kept for later attempts.
func (c *call) record() once.Answer { return c.kept }

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
