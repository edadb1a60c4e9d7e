package soak

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"clementinehead.example/chead/reply"
	"clementinehead.example/chead/simul"
)

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
	return &client{cluster: c, http: &http.Client{Transport: reply.NewTransport(&http.Transport{MaxIdleConnsPerHost: 20})}}
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
func (c *client) sendStream(d *daemon) record { return c.send(d, talkPath, "good-key") }

// send sends one request to one daemon and records the result.
func (c *client) send(d *daemon, path, key string) record {
	rec := c.begin(d, path, key)
	c.exchange(d, &rec)
	return c.finish(rec)
}

// begin returns the record of a request that is about to be sent.
func (c *client) begin(d *daemon, path, key string) record {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	rec := record{id: fmt.Sprintf("%s%d", strings.Trim(path, "/"), c.count), path: path, key: key, daemon: d.index, deadline: deadline, sent: time.Now()}
	if c.cluster.traits.crashes && routes[path].stream {
		rec.prompt = soundPrompt(c.count)
	}
	return rec
}

// finish records the result of a request.
func (c *client) finish(rec record) record {
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
	var written atomic.Pointer[time.Time] // the transport may still write when it has returned
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if now := time.Now(); info.Err == nil {
			written.Store(&now)
		}
	}})
	r, err := rec.call(d.callers.Address()).Request(traced)
	if err != nil {
		rec.end(err)
		return
	}
	response, err := c.http.Do(r)
	if err != nil {
		rec.end(err)
	} else {
		defer func() { _ = response.Body.Close() }()
		rec.read(response)
	}
	if at := written.Load(); at != nil {
		rec.written = *at
	}
}

// call returns the request of a record, to an address.
func (r record) call(address string) simul.Call {
	return simul.Call{Address: address, Path: r.path, ID: r.id, Model: "m", Key: r.key, Prompt: r.prompt, Size: r.size, Deadline: r.deadline}
}

// sendUntilServed sends a request up to maxTries times, with the retry delay of
// the answer in between, and reports whether it was served.
func (c *client) sendUntilServed(d *daemon, path string) bool {
	for range maxTries {
		rec := c.send(d, path, "good-key")
		if rec.served() {
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
