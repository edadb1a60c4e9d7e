package store

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"github.com/samber/oops"
)

// cachedList is the latest list of instances and its entity tag (RFC 9110,
// section 8.8.3).
type cachedList struct {
	mutex     sync.Mutex
	tag       string
	instances []Instance
}

// Instances returns the platform's list of instances, which lags behind their
// actual state. An unchanged list isn't transferred again: the platform answers
// its entity tag with 304 Not Modified.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	const op = "instances"
	c.Calls.Lists.Add(1)
	request, err := newRequest(ctx, http.MethodGet, c.Platform+"/v1/instances", nil)
	if err != nil {
		return nil, &Error{Op: op, Kind: Invalid, Err: oops.In("store").Wrap(err)}
	}
	cached, tag := c.list.get()
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	response, body, err := c.send(op, request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusNotModified {
		return cached, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, statusError(op, response.StatusCode, body)
	}
	instances, odd, err := decodeInstances(body)
	if err != nil {
		return nil, &Error{Op: op, Kind: Lost, Err: err}
	}
	c.Calls.OddRows.Add(uint64(odd))
	c.list.set(response.Header.Get("ETag"), instances)
	return instances, nil
}

func (l *cachedList) get() ([]Instance, string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.instances), l.tag
}

func (l *cachedList) set(tag string, instances []Instance) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.tag = tag
	l.instances = slices.Clone(instances)
}
