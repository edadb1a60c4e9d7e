package store

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"github.com/samber/oops"
)

// lastList is the latest list of instances with the tag that the platform gave
// it (RFC 9110, section 8.8.3).
type lastList struct {
	mutex     sync.Mutex
	tag       string
	instances []Instance
}

// Instances returns the platform's list of instances, which lags. An unchanged
// list isn't sent again: the platform answers its tag alone.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	const op = "instances"
	c.Calls.Lists.Add(1)
	request, err := newRequest(ctx, http.MethodGet, c.Platform+"/v1/instances", nil)
	if err != nil {
		return nil, &Error{Op: op, Kind: Invalid, Err: oops.In("store").Wrap(err)}
	}
	known, tag := c.last.get()
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	response, body, err := c.send(op, request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusNotModified {
		return known, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, refusal(op, response.StatusCode, body)
	}
	var instances []Instance
	if err := json.Unmarshal(body, &instances); err != nil {
		return nil, &Error{Op: op, Kind: Lost, Err: err}
	}
	c.last.set(response.Header.Get("ETag"), instances)
	return instances, nil
}

func (l *lastList) get() ([]Instance, string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.instances), l.tag
}

func (l *lastList) set(tag string, instances []Instance) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.tag = tag
	l.instances = slices.Clone(instances)
}
