package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/samber/oops"
)

// The operations of Client, as reported in Error.Op.
const (
	opProbe  = "probe"
	opOrder  = "order"
	opFeed   = "feed"
	opOpen   = "open"
	opResume = "resume"
	opCancel = "cancel"
)

// Probe returns the report of the endpoint at address, host:port.
func (c *Client) Probe(ctx context.Context, address string) (Report, error) {
	var report Report
	k := call{op: opProbe, address: address, method: http.MethodGet, path: "/v1/report"}
	err := c.fetch(ctx, k, &report)
	return report, err
}

// Order assigns a replica and a model to an endpoint and returns its report
// after the change. The error is Stale if the endpoint holds a newer fencing
// number.
func (c *Client) Order(ctx context.Context, address string, order Order) (Report, error) {
	k := call{op: opOrder, address: address, method: http.MethodPost, path: "/v1/order"}
	body, err := json.Marshal(order)
	if err != nil {
		return Report{}, k.newError(Unsent, 0, oops.In("engine").Wrap(err))
	}
	k.body = body
	var report Report
	err = c.fetch(ctx, k, &report)
	return report, err
}

// Feed returns the cache events with a sequence above after that the endpoint
// has published so far.
func (c *Client) Feed(ctx context.Context, address string, after uint64) (Feed, error) {
	path := "/v1/events?after=" + strconv.FormatUint(after, 10)
	var feed Feed
	err := c.fetch(ctx, call{op: opFeed, address: address, method: http.MethodGet, path: path}, &feed)
	return feed, err
}

// Cancel ends the request id. The error is Gone if the endpoint does not know
// the request.
func (c *Client) Cancel(ctx context.Context, address, id string) error {
	k := call{op: opCancel, address: address, method: http.MethodDelete, path: streamPath(id)}
	return c.fetch(ctx, k, nil)
}

func streamPath(id string) string { return "/v1/streams/" + url.PathEscape(id) }
