package front

import (
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

// Timeouts closes callers' connections on which no request's header has been read
// within the limits of the configuration: HeaderTime after the connection began, for
// its first request, and Idle after the end of a request, for the next. Its method
// ConnState is meant as the ConnState hook of an http.Server: the server's own timeouts
// can't change while it runs. Use NewTimeouts to create one.
type Timeouts struct {
	limits func() site.Limits
	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

// NewTimeouts returns a Timeouts that applies the limits in force when a timeout begins.
func NewTimeouts(limits func() site.Limits) *Timeouts {
	return &Timeouts{limits: limits, timers: map[net.Conn]*time.Timer{}}
}

// ConnState starts or stops the timeout of a connection that enters a state. The
// server reports a connection as active once it has read a request's header.
func (t *Timeouts) ConnState(c net.Conn, state http.ConnState) {
	limits := t.limits()
	switch state {
	case http.StateNew:
		t.start(c, positiveOr(limits.HeaderTime, defaultHeaderTimeout))
	case http.StateIdle:
		t.start(c, positiveOr(limits.Idle, defaultIdleTimeout))
	default:
		t.stop(c)
	}
}

// start closes a connection after the time limit, unless stop is called.
func (t *Timeouts) start(c net.Conn, limit time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timers[c] = time.AfterFunc(limit, func() { _ = c.Close() }) // the server then reads an error and ends the connection
}

// stop ends the timeout of a connection, if it has one.
func (t *Timeouts) stop(c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if timer, ok := t.timers[c]; ok {
		timer.Stop()
		delete(t.timers, c)
	}
}

// positiveOr returns v if it is positive, and fallback otherwise.
func positiveOr(v, fallback time.Duration) time.Duration {
	if v > 0 {
		return v
	}
	return fallback
}
