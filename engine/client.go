package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/samber/oops"

	"clementinehead.example/chead/bound"
)

// MaxAnswer is the largest response body, other than a stream, that is read, in
// bytes.
const MaxAnswer = 256 << 10

// maxReason is the longest text of an error response that is kept, in bytes.
const maxReason = 512

// Client calls endpoints. Do sends a request; outside tests it is
// http.Client.Do. Limits returns the timeouts for new streams; nil means no
// timeouts. A Client is safe for concurrent use.
type Client struct {
	Do     func(*http.Request) (*http.Response, error)
	Limits func() Limits
}

// Limits are the timeouts of a stream; 0 means no timeout. First also applies
// to the wait for the response headers in Open and Resume.
type Limits struct {
	First time.Duration // from dispatch to the first event
	Gap   time.Duration // between two events
}

// New returns a client that sends with do.
func New(do func(*http.Request) (*http.Response, error)) *Client {
	return &Client{Do: do}
}

func (c *Client) limits() Limits {
	if c.Limits == nil {
		return Limits{}
	}
	return c.Limits()
}

// call describes one call to an endpoint.
type call struct {
	op      string
	address string
	method  string
	path    string
	header  http.Header
	body    []byte
}

func (k call) newError(kind Kind, status int, err error) *Error {
	return &Error{Op: k.op, Address: k.address, Kind: kind, Status: status, Err: err}
}

// request returns the HTTP request for the call. GetBody is left unset so that
// no transport sends the request a second time.
func (k call) request(ctx context.Context) (*http.Request, error) {
	var body io.Reader
	if k.body != nil {
		body = io.NopCloser(bytes.NewReader(k.body))
	}
	request, err := http.NewRequestWithContext(ctx, k.method, "http://"+k.address+k.path, body)
	if err != nil {
		return nil, err
	}
	for name, values := range k.header {
		request.Header[name] = values
	}
	request.Header.Set("User-Agent", "") // omits the header: probes are frequent and small
	if k.body != nil {
		request.ContentLength = int64(len(k.body))
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// send makes one attempt. It returns the response if its status is 2xx, and an
// *Error otherwise.
func (c *Client) send(ctx context.Context, k call) (*http.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, k.newError(Unsent, 0, err)
	}
	traced, progress := trace(ctx)
	request, err := k.request(traced)
	if err != nil {
		return nil, k.newError(Unsent, 0, oops.In("engine").Wrap(err))
	}
	response, err := c.Do(request)
	if err != nil {
		return nil, k.newError(progress.kind(), 0, err)
	}
	if response.StatusCode/100 == 2 {
		return response, nil
	}
	defer response.Body.Close()
	return nil, k.refusal(response)
}

// refusal returns the error for a response whose status is not 2xx.
func (k call) refusal(response *http.Response) *Error {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReason))
	reason := strings.TrimSpace(string(text))
	if reason == "" {
		reason = response.Status
	}
	cause := errors.Join(errors.New(reason), err)
	return k.newError(k.refusalKind(response), response.StatusCode, cause)
}

// refusalKind returns the error kind for a response whose status is not 2xx. A
// request may have run unless the endpoint states that it did not.
func (k call) refusalKind(response *http.Response) Kind {
	status := response.StatusCode
	if status == http.StatusNotFound && k.op != opOpen {
		return Gone
	}
	if status == http.StatusConflict && k.op == opOrder {
		return Stale
	}
	if response.Header.Get(HeaderRan) != ranNo {
		return Broken
	}
	switch status {
	case http.StatusConflict:
		return Stale
	case http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return Invalid
	default:
		return Refused
	}
}

// ranNo is the value of HeaderRan for a request that was not run.
const ranNo = "no"

// fetch makes a call and decodes the JSON value in the response into out. If
// out is nil, the response body is discarded.
func (c *Client) fetch(ctx context.Context, k call, out any) error {
	response, err := c.send(ctx, k)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := bound.ReadAll(response.Body, MaxAnswer)
	if err != nil {
		return k.newError(Broken, response.StatusCode, err)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return k.newError(Broken, response.StatusCode, oops.In("engine").Wrap(err))
	}
	return nil
}
