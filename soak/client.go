package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"clementinehead.example/chead/mimic"
)

// record is one request of a caller and what came of it.
type record struct {
	id     string
	path   string
	key    string
	daemon int
	sent   time.Time
	ended  time.Time
	status int // 0 where there was no answer
	body   string
	cut    bool          // the body didn't come to its end
	after  time.Duration // when to come back
}

// whole reports whether a stream came whole.
func (r record) whole() bool {
	return r.status == http.StatusOK && !r.cut && r.body == mimic.Stream(events)
}

const (
	deadline    = 6 * time.Second
	patience    = time.Second // of a caller beyond its deadline
	guideLimit  = 500 * time.Millisecond
	guideHold   = time.Second
	mostTries   = 3
	defaultWait = 300 * time.Millisecond
)

// client sends requests over connections that it keeps, and notes what comes.
type client struct {
	world *world
	http  *http.Client
	mu    sync.Mutex
	named []string
	until time.Time
	n     int
	all   []record
}

func newClient(w *world) *client {
	return &client{world: w, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20}}}
}

// addresses returns where daemons say that callers connect.
func (c *client) addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.until) {
		return c.named
	}
	for _, d := range c.world.daemons {
		if named := c.ask(d); len(named) > 0 {
			c.named = named
			c.until = time.Now().Add(guideHold)
			return named
		}
	}
	return c.named
}

func (c *client) ask(d *daemon) []string {
	ctx, cancel := context.WithTimeout(context.Background(), guideLimit)
	defer cancel()
	named, err := mimic.Resolve(ctx, c.http, d.guide)
	if err != nil {
		return nil // the next daemon is asked
	}
	return named
}

// pick returns the daemon for the next request, of those that are named.
func (c *client) pick(n int) *daemon {
	named := c.addresses()
	if len(named) == 0 {
		return c.world.daemons[n%len(c.world.daemons)]
	}
	at := named[n%len(named)]
	for _, d := range c.world.daemons {
		if d.caller == at {
			return d
		}
	}
	return c.world.daemons[0]
}

func (c *client) talk(d *daemon) record { return c.send(d, "/talk/", "good-key") }

// send sends one request to one daemon and notes what came of it.
func (c *client) send(d *daemon, path, key string) record {
	c.mu.Lock()
	c.n++
	rec := record{id: fmt.Sprintf("%s%d", strings.Trim(path, "/"), c.n), path: path, key: key, sent: time.Now()}
	c.mu.Unlock()
	for i, other := range c.world.daemons {
		if other == d {
			rec.daemon = i
		}
	}
	c.exchange(d, &rec)
	rec.ended = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, rec)
	return rec
}

func (c *client) exchange(d *daemon, rec *record) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+patience)
	defer cancel()
	call := mimic.Call{Address: d.in.Address(), Path: rec.path, ID: rec.id, Model: "m", Key: rec.key, Deadline: deadline}
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
	rec.after = mimic.After(response)
}

// insist sends a request again after refusals, when the caller is told to come
// back, and reports whether it was served.
func (c *client) insist(d *daemon, path string) bool {
	for range mostTries {
		rec := c.send(d, path, "good-key")
		if rec.status == http.StatusOK && !rec.cut {
			return true
		}
		time.Sleep(max(defaultWait, rec.after))
	}
	return false
}

// records returns all that was noted.
func (c *client) records() []record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]record(nil), c.all...)
}
