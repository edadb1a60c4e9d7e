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

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/once"
)

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
