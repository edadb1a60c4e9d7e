package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"clementinehead.example/chead/site"
)

const (
	defaultHeaderTimeout = 5 * time.Second  // from the start of a connection until its first request's header is read, if the configuration has no limit
	defaultIdleTimeout   = 60 * time.Second // from the end of a request until the header of the next one is read, if the configuration has no limit
)

// Callers holds the callers' connections of an http.Server and closes those that wait
// for a request: after the limits of the configuration, which the server's own timeouts
// can't follow while it runs, and in a shutdown. HeaderTime limits the wait for a
// connection's first request, Idle for the next ones. Closing a connection and serving
// a request from it exclude each other. Use NewCallers to create one.
type Callers struct {
	limits  func() site.Limits
	mu      sync.Mutex
	conns   map[net.Conn]*caller
	closed  int // connections closed while they waited
	crossed int // requests not served since their connection had been closed
}

// caller is a caller's connection.
type caller struct {
	waiting bool      // no request was read since
	since   time.Time // when the wait began
	closed  bool      // while it waited
	timer   *time.Timer
}

// NewCallers returns a Callers that applies the limits in force when a wait begins.
func NewCallers(limits func() site.Limits) *Callers {
	return &Callers{limits: limits, conns: map[net.Conn]*caller{}}
}

// callerKey is the key of a connection's *caller in the contexts of its requests.
type callerKey struct{}

// Attach sets the hooks of a server that does not run yet, and wraps its handler.
func (c *Callers) Attach(s *http.Server) {
	next := s.Handler
	s.ConnState = c.connState
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		c.mu.Lock()
		defer c.mu.Unlock()
		entry := &caller{}
		c.conns[conn] = entry
		return context.WithValue(WithConn(ctx, conn), callerKey{}, entry)
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if entry, ok := r.Context().Value(callerKey{}).(*caller); ok && !c.begin(entry) {
			panic(http.ErrAbortHandler) // the caller can't get an answer any more
		}
		next.ServeHTTP(w, r)
	})
}

// begin ends the wait of a connection from which a request was read. It reports false
// if the connection has been closed.
func (c *Callers) begin(entry *caller) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry.stopWait()
	if entry.closed {
		c.crossed++
	}
	return !entry.closed
}

// connState begins or ends the wait of a connection that enters a state. The server
// reports a connection as active once it has read a request's header.
func (c *Callers) connState(conn net.Conn, state http.ConnState) {
	limits := c.limits()
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, known := c.conns[conn]
	if !known {
		return
	}
	entry.stopWait()
	switch state {
	case http.StateNew:
		c.wait(conn, entry, positiveOr(limits.HeaderTime, defaultHeaderTimeout))
	case http.StateIdle:
		c.wait(conn, entry, positiveOr(limits.Idle, defaultIdleTimeout))
	case http.StateClosed, http.StateHijacked:
		delete(c.conns, conn)
	case http.StateActive: // its wait has ended
	}
}

// wait begins the wait of a connection, which is closed after a time. The caller holds
// the lock.
func (c *Callers) wait(conn net.Conn, entry *caller, limit time.Duration) {
	entry.waiting = true
	entry.since = time.Now()
	entry.timer = time.AfterFunc(limit, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.close(conn, entry, limit)
	})
}

// stopWait ends the wait of a connection. The caller holds the lock.
func (e *caller) stopWait() {
	e.waiting = false
	if e.timer != nil {
		e.timer.Stop()
	}
}

// close closes a connection if it has waited for at least a time. The server then reads
// an error from it. The caller holds the lock.
func (c *Callers) close(conn net.Conn, entry *caller, least time.Duration) {
	if !entry.waiting || entry.closed || time.Since(entry.since) < least {
		return
	}
	entry.closed = true
	c.closed++
	_ = conn.Close()
}

// CloseWaiting closes the connections that have waited for a request for at least a
// time. Of a caller that has sent nothing for a while, a request is less likely to be
// under way.
func (c *Callers) CloseWaiting(least time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, entry := range c.conns {
		c.close(conn, entry, least)
	}
}

// Open returns the number of connections, including those that were closed by their
// callers while a request from them is still served.
func (c *Callers) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// Closed returns how many connections were closed while they waited for a request, and
// how many requests were read from such a connection and not served.
func (c *Callers) Closed() (closed, crossed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed, c.crossed
}

// positiveOr returns v if it is positive, and fallback otherwise.
func positiveOr(v, fallback time.Duration) time.Duration {
	if v > 0 {
		return v
	}
	return fallback
}
