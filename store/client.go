package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"clementinehead.example/chead/bound"
)

// MaxAnswer is the maximum size of an answer in bytes.
const MaxAnswer = 16 << 20

// Client calls the key-value service at Base and the platform's list of
// instances at Platform, both URLs without a path. Do sends a request; outside
// tests it is http.Client.Do. A Client is safe for concurrent use.
type Client struct {
	Base     string
	Platform string
	Do       func(*http.Request) (*http.Response, error)
	Calls    *Calls

	list cachedList
}

// Calls counts a client's calls of the service, by kind.
type Calls struct {
	Reads, Writes, Watches, Leases, Lists atomic.Uint64

	OddRows atomic.Uint64 // rows of lists that named no instance
}

// New returns a client that sends its requests with do. The key-value service
// and the list of instances are both at the URL base.
func New(base string, do func(*http.Request) (*http.Response, error)) *Client {
	return &Client{Base: base, Platform: base, Do: do, Calls: &Calls{}}
}

// Get returns the entry of a key. The error's kind is NotFound if there is none.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	c.Calls.Reads.Add(1)
	var entry Entry
	err := c.call(ctx, "get", http.MethodGet, "/v1/kv/"+url.PathEscape(key), nil, &entry)
	return entry, err
}

// List returns all entries whose key begins with prefix.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	c.Calls.Reads.Add(1)
	var listing Listing
	query := url.Values{"prefix": {prefix}}
	err := c.call(ctx, "list", http.MethodGet, "/v1/kv?"+query.Encode(), nil, &listing)
	return listing, err
}

// Put writes a key if its revision is put.Prev, and returns the new revision.
// The error's kind is Conflict if the key has another revision (not done), and
// Lost if the outcome is unknown (may be done).
func (c *Client) Put(ctx context.Context, put Put) (uint64, error) {
	c.Calls.Writes.Add(1)
	var entry Entry
	err := c.call(ctx, "put", http.MethodPut, "/v1/kv/"+url.PathEscape(put.Key), put, &entry)
	return entry.Revision, err
}

// Delete removes a key if its revision is prev.
func (c *Client) Delete(ctx context.Context, key string, prev uint64) error {
	c.Calls.Writes.Add(1)
	query := url.Values{"prev": {strconv.FormatUint(prev, 10)}}
	path := "/v1/kv/" + url.PathEscape(key) + "?" + query.Encode()
	return c.call(ctx, "delete", http.MethodDelete, path, nil, nil)
}

// Watch waits for at most wait for changes, after the revision after, of keys
// that begin with prefix. It returns an empty listing if nothing changed.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Listing, error) {
	c.Calls.Watches.Add(1)
	var listing Listing
	query := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(after, 10)},
		"wait":   {wait.String()},
	}
	err := c.call(ctx, "watch", http.MethodGet, "/v1/watch?"+query.Encode(), nil, &listing)
	return listing, err
}

// Grant creates a lease that lapses unless it is kept alive within ttl.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	c.Calls.Leases.Add(1)
	var lease Lease
	err := c.call(ctx, "grant", http.MethodPost, "/v1/leases", Lease{TTL: ttl}, &lease)
	return lease, err
}

// KeepAlive keeps a lease alive. The error's kind is NotFound if it has lapsed.
func (c *Client) KeepAlive(ctx context.Context, id uint64) error {
	c.Calls.Leases.Add(1)
	return c.call(ctx, "keep", http.MethodPost, "/v1/leases/"+strconv.FormatUint(id, 10), nil, nil)
}

// Revoke ends a lease and deletes its keys.
func (c *Client) Revoke(ctx context.Context, id uint64) error {
	c.Calls.Leases.Add(1)
	return c.call(ctx, "revoke", http.MethodDelete, "/v1/leases/"+strconv.FormatUint(id, 10), nil, nil)
}

// call makes one call of the key-value service. It encodes in, unless it is nil,
// as the request's body and decodes the answer into out, unless that is nil.
func (c *Client) call(ctx context.Context, op, method, path string, in, out any) error {
	request, err := newRequest(ctx, method, c.Base+path, in)
	if err != nil {
		return &Error{Op: op, Kind: Invalid, Err: oops.In("store").Wrap(err)}
	}
	response, body, err := c.send(op, request)
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return statusError(op, response.StatusCode, body)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return &Error{Op: op, Kind: Lost, Err: err}
	}
	return nil
}

// send sends a request once and reads the whole answer, whatever its status.
func (c *Client) send(op string, request *http.Request) (*http.Response, []byte, error) {
	response, err := c.Do(request)
	if err != nil {
		return nil, nil, &Error{Op: op, Kind: sendErrorKind(err), Err: err}
	}
	defer response.Body.Close()
	body, err := bound.ReadAll(response.Body, MaxAnswer)
	if err != nil {
		return nil, nil, &Error{Op: op, Kind: Lost, Err: err}
	}
	return response, body, nil
}

// statusError returns the error for an answer with a status other than success.
func statusError(op string, status int, body []byte) *Error {
	reason := oops.In("store").With("status", status).Errorf("%s", bytes.TrimSpace(body))
	return &Error{Op: op, Kind: statusKind(status), Err: reason}
}

// newRequest returns a request whose body, if in isn't nil, is in as JSON. It
// leaves GetBody unset, so that no transport sends a write twice.
func newRequest(ctx context.Context, method, rawURL string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = io.NopCloser(bytes.NewReader(data))
	}
	request, err := http.NewRequestWithContext(ctx, method, rawURL, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// sendErrorKind returns the kind for a call without an answer: Unavailable if the
// connection could not be opened, so that nothing was sent, and Lost otherwise.
func sendErrorKind(err error) Kind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Unavailable
	}
	return Lost
}

// statusKind returns the kind for an HTTP status other than success.
func statusKind(status int) Kind {
	switch status {
	case http.StatusConflict:
		return Conflict
	case http.StatusNotFound:
		return NotFound
	case http.StatusTooManyRequests:
		return Limited
	case http.StatusServiceUnavailable:
		return Unavailable
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return Invalid
	default:
		return Lost
	}
}
