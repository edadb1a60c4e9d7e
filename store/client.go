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
)

// MaxAnswer bounds the size of an answer, in bytes.
const MaxAnswer = 64 << 20

// Client calls the key-value service at Base and the platform's list of
// instances at Platform, both URLs without a path. Do sends a request; it is
// http.Client.Do but in tests. A Client is safe for concurrent use.
type Client struct {
	Base     string
	Platform string
	Do       func(*http.Request) (*http.Response, error)
	Calls    *Calls

	last lastList
}

// Calls counts what a client asked of the service, by kind.
type Calls struct {
	Reads, Writes, Watches, Leases, Lists atomic.Uint64
}

// New returns a client of the service at base, which also has the list of
// instances, that sends with do.
func New(base string, do func(*http.Request) (*http.Response, error)) *Client {
	return &Client{Base: base, Platform: base, Do: do, Calls: &Calls{}}
}

// Get returns the entry of a key. The error is NotFound where there is none.
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

// Put writes under compare-and-swap and returns the new revision. The error's
// kind tells Conflict (not done) from Lost (may be done).
func (c *Client) Put(ctx context.Context, put Put) (uint64, error) {
	c.Calls.Writes.Add(1)
	var entry Entry
	err := c.call(ctx, "put", http.MethodPut, "/v1/kv/"+url.PathEscape(put.Key), put, &entry)
	return entry.Revision, err
}

// Delete removes a key while its revision is prev.
func (c *Client) Delete(ctx context.Context, key string, prev uint64) error {
	c.Calls.Writes.Add(1)
	query := url.Values{"prev": {strconv.FormatUint(prev, 10)}}
	path := "/v1/kv/" + url.PathEscape(key) + "?" + query.Encode()
	return c.call(ctx, "delete", http.MethodDelete, path, nil, nil)
}

// Watch waits for changes under prefix after a revision, for at most wait. An
// empty listing means that nothing changed.
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

// Grant makes a lease that lapses unless it is kept alive within ttl.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	c.Calls.Leases.Add(1)
	var lease Lease
	err := c.call(ctx, "grant", http.MethodPost, "/v1/leases", Lease{TTL: ttl}, &lease)
	return lease, err
}

// Keep keeps a lease alive. The error is NotFound when it has lapsed.
func (c *Client) Keep(ctx context.Context, id uint64) error {
	c.Calls.Leases.Add(1)
	return c.call(ctx, "keep", http.MethodPost, "/v1/leases/"+strconv.FormatUint(id, 10), nil, nil)
}

// Revoke ends a lease and deletes its keys.
func (c *Client) Revoke(ctx context.Context, id uint64) error {
	c.Calls.Leases.Add(1)
	return c.call(ctx, "revoke", http.MethodDelete, "/v1/leases/"+strconv.FormatUint(id, 10), nil, nil)
}

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
		return refusal(op, response.StatusCode, body)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return &Error{Op: op, Kind: Lost, Err: err}
	}
	return nil
}

// send makes one attempt and reads the whole answer, whatever its status.
func (c *Client) send(op string, request *http.Request) (*http.Response, []byte, error) {
	response, err := c.Do(request)
	if err != nil {
		return nil, nil, &Error{Op: op, Kind: unanswered(err), Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswer))
	if err != nil {
		return nil, nil, &Error{Op: op, Kind: Lost, Err: err}
	}
	return response, body, nil
}

func refusal(op string, status int, body []byte) *Error {
	reason := oops.In("store").With("status", status).Errorf("%s", bytes.TrimSpace(body))
	return &Error{Op: op, Kind: kindOf(status), Err: reason}
}

// newRequest leaves GetBody unset, so that no transport sends a write twice.
func newRequest(ctx context.Context, method, at string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = io.NopCloser(bytes.NewReader(data))
	}
	request, err := http.NewRequestWithContext(ctx, method, at, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// unanswered tells a call that never left from one whose answer is missing.
func unanswered(err error) Kind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Unavailable
	}
	return Lost
}

func kindOf(status int) Kind {
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
