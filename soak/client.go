package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"clementinehead.example/chead/simul"
)

// record is one request of a caller and its result.
type record struct {
	id         string
	path       string
	key        string
	daemon     int
	sent       time.Time
	ended      time.Time
	status     int // 0 if there was no answer
	body       string
	cut        bool          // the body ended early
	retryAfter time.Duration // the retry delay that the answer asks for
}

// complete reports whether a stream is complete.
func (r record) complete() bool {
	return r.status == http.StatusOK && !r.cut && r.body == simul.StreamBody(events)
}

const (
	deadline     = 6 * time.Second
	callerSlack  = time.Second            // time that a caller waits beyond its deadline
	guideTimeout = 500 * time.Millisecond // for one request to a daemon's directory
	guideTTL     = time.Second            // how long a directory's answer is used
	maxTries     = 3
	minRetryWait = 300 * time.Millisecond // between tries of sendUntilServed
)

// client sends requests over persistent connections and records the results.
type client struct {
	cluster *cluster
	http    *http.Client
	mu      sync.Mutex
	listed  []string
	expires time.Time
	count   int
	results []record
}

func newClient(c *cluster) *client {
	return &client{cluster: c, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20}}}
}

// addresses returns the addresses for callers that the daemons' directory lists.
// It asks the daemons in order and caches the answer.
func (c *client) addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return c.listed
	}
	for _, d := range c.cluster.daemons {
		if addresses := c.resolve(d); len(addresses) > 0 {
			c.listed = addresses
			c.expires = time.Now().Add(guideTTL)
			return addresses
		}
	}
	return c.listed
}

// resolve returns the addresses that one daemon's directory lists, or nil if it
// does not answer.
func (c *client) resolve(d *daemon) []string {
	ctx, cancel := context.WithTimeout(context.Background(), guideTimeout)
	defer cancel()
	addresses, err := simul.Resolve(ctx, c.http, d.guide)
	if err != nil {
		return nil // addresses asks the next daemon
	}
	return addresses
}

// pick returns the daemon for the request with number n: one of those listed, or
// any if none is.
func (c *client) pick(n int) *daemon {
	listed := c.addresses()
	if len(listed) == 0 {
		return c.cluster.daemons[n%len(c.cluster.daemons)]
	}
	at := listed[n%len(listed)]
	for _, d := range c.cluster.daemons {
		if d.caller == at {
			return d
		}
	}
	return c.cluster.daemons[0]
}

// sendStream sends a request that is answered by a stream.
func (c *client) sendStream(d *daemon) record { return c.send(d, "/talk/", "good-key") }

// send sends one request to one daemon and records the result.
func (c *client) send(d *daemon, path, key string) record {
	c.mu.Lock()
	c.count++
	rec := record{id: fmt.Sprintf("%s%d", strings.Trim(path, "/"), c.count), path: path, key: key, sent: time.Now()}
	c.mu.Unlock()
	for i, other := range c.cluster.daemons {
		if other == d {
			rec.daemon = i
		}
	}
	c.exchange(d, &rec)
	rec.ended = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, rec)
	return rec
}

// exchange sends a request and fills in its result.
func (c *client) exchange(d *daemon, rec *record) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+callerSlack)
	defer cancel()
	call := simul.Call{Address: d.callers.Address(), Path: rec.path, ID: rec.id, Model: "m", Key: rec.key, Deadline: deadline}
	r, err := call.Request(ctx)
	if err != nil {
		return
	}
	response, err := c.http.Do(r)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	rec.status = response.StatusCode
	rec.body = string(body)
	rec.cut = err != nil
	rec.retryAfter = simul.RetryAfter(response)
}

// sendUntilServed sends a request up to maxTries times, with the retry delay of
// the answer in between, and reports whether it was served.
func (c *client) sendUntilServed(d *daemon, path string) bool {
	for range maxTries {
		rec := c.send(d, path, "good-key")
		if rec.status == http.StatusOK && !rec.cut {
			return true
		}
		time.Sleep(max(minRetryWait, rec.retryAfter))
	}
	return false
}

// records returns the records of all requests so far.
func (c *client) records() []record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]record(nil), c.results...)
}
