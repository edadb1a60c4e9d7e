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

// callWithRetries sends the call, and sends it again to another address where
// mayRetry allows it.
func (c *call) callWithRetries(ctx context.Context) *Error {
	j := c.job
	c.entry.budget.deposit(j.account, j.view.Document.Limits.Retries)
	untried := slices.Clone(c.service.Addresses)
	ran := engine.No
	for {
		address, err := c.reserveAddress(ctx, untried)
		if err == nil {
			err = c.send(ctx, address)
			c.entry.loads.done(address)
		}
		if err == nil {
			return nil
		}
		ran = max(ran, err.Ran)
		err.Ran = ran
		untried = slices.DeleteFunc(untried, func(a string) bool { return a == address })
		if !c.mayRetry(ctx, ran, untried) {
			return err
		}
		c.entry.metrics.retries.WithLabelValues(err.Kind.String()).Inc()
	}
}

// mayRetry reports whether the call may be sent again after an error: nothing
// was written to the caller, the context is active, an address is left, the call
// can't have run or is repeatable, and the retry budget allows it. It takes the
// retry from the budget.
func (c *call) mayRetry(ctx context.Context, ran engine.Ran, untried []string) bool {
	if ctx.Err() != nil || c.started || len(untried) == 0 {
		return false
	}
	if ran != engine.No && c.job.atMostOnce {
		return false
	}
	return c.entry.budget.withdraw(c.job.account)
}

// reserveAddress returns the address with the fewest calls of this daemon in
// progress and counts the call there.
func (c *call) reserveAddress(ctx context.Context, addresses []string) (string, *Error) {
	if err := c.entry.checkActive(ctx, c.job); err != nil {
		return "", err
	}
	if c.job.atMostOnce && c.job.recordsExpired() {
		return "", reject("call", Timeout, nil)
	}
	address, ok := c.entry.loads.start(addresses, c.service.Inflight)
	if !ok {
		err := reject("call", Busy, nil)
		err.Retry = defaultRetryAfter
		return "", err
	}
	return address, nil
}

// send sends the call to one address and forwards the answer.
func (c *call) send(ctx context.Context, address string) *Error {
	request, err := c.newRequest(ctx, address)
	if err != nil {
		return reject("call", BadRequest, err)
	}
	do := c.entry.options.Plain
	if c.job.atMostOnce {
		do = c.entry.options.Unpooled
		c.entry.dispatched.add(c.job.recordKey())
	}
	response, err := do(request)
	if err != nil {
		return c.newError(ctx, err, ranAfter(err))
	}
	defer response.Body.Close()
	head, err := io.ReadAll(io.LimitReader(response.Body, once.MaxAnswerBody+1))
	if err != nil {
		return c.newError(ctx, err, engine.Yes)
	}
	return c.passAnswer(ctx, response, head)
}

// newRequest returns the request to a service. GetBody is unset, so that no
// transport can send the body twice.
func (c *call) newRequest(ctx context.Context, address string) (*http.Request, error) {
	rawURL := "http://" + address + c.target.path
	if c.request.URL.RawQuery != "" {
		rawURL += "?" + c.request.URL.RawQuery
	}
	var body io.Reader
	if len(c.job.body) > 0 {
		body = io.NopCloser(bytes.NewReader(c.job.body))
	}
	request, err := http.NewRequestWithContext(ctx, c.request.Method, rawURL, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(c.job.body))
	request.Header = endToEnd(c.request.Header, daemonHeaders...)
	request.Header.Set(headerRequest, c.job.id)
	request.Header.Set(headerAccount, c.job.account)
	if c.request.UserAgent() == "" {
		request.Header.Set("User-Agent", "")
	}
	return request, nil
}

// ranAfter returns whether a request may have run, given its transport's error.
// A request that failed while dialing was never sent.
func ranAfter(err error) engine.Ran {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return engine.No
	}
	return engine.Unknown
}

// newError returns the error of a call that got no complete answer.
func (c *call) newError(ctx context.Context, err error, ran engine.Ran) *Error {
	fault := &Error{Op: "call", Kind: Broken, Ran: ran, Err: err}
	switch {
	case c.job.expired():
		fault.Kind = Timeout
	case ctx.Err() != nil:
		fault.Kind = Cancelled
	case ran == engine.No:
		fault.Kind = Unavailable
		fault.Retry = defaultRetryAfter
	}
	return fault
}

// passAnswer forwards the answer: head, which was read already, then the rest.
// An answer that ends early aborts the connection, so that the caller doesn't
// take it for a complete one.
func (c *call) passAnswer(ctx context.Context, response *http.Response, head []byte) *Error {
	c.started = true
	for name, values := range endToEnd(response.Header, headerRequest, "Content-Length") {
		c.w.Header()[name] = values
	}
	if response.ContentLength >= 0 {
		c.w.Header().Set("Content-Length", fmt.Sprint(response.ContentLength))
	}
	c.recorded = once.Answer{Status: response.StatusCode, Type: response.Header.Get("Content-Type"), Body: head}
	control := http.NewResponseController(c.w)
	_ = control.SetWriteDeadline(c.job.deadline) // in-memory writers have none
	c.w.WriteHeader(response.StatusCode)
	_, failed := c.w.Write(head)
	if len(head) > once.MaxAnswerBody {
		_, failed = io.Copy(c.w, response.Body)
	}
	if failed == nil {
		return nil
	}
	c.truncated = true
	if c.job.atMostOnce {
		return nil // it ran; the answer is recorded up to once.MaxAnswerBody bytes
	}
	return c.newError(ctx, errors.Join(errCallerConn, failed), engine.Yes)
}

// recordedAnswer returns the answer as it is recorded for later attempts.
func (c *call) recordedAnswer() once.Answer { return c.recorded }
