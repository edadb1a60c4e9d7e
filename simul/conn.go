package simul

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Serve serves a runner on a listener. Only such a runner can answer twice or reset
// connections. The error is that of http.Server.Serve.
func Serve(l net.Listener, r *Runner, headerTimeout time.Duration) error {
	server := &http.Server{
		Handler: r, ReadHeaderTimeout: headerTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				c.(*runnerConn).idle()
			}
		},
	}
	return server.Serve(runnerListener{l})
}

// runnerListener makes a runnerConn of each connection that it accepts.
type runnerListener struct{ net.Listener }

// Accept waits for a connection.
func (l runnerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &runnerConn{Conn: c}, nil
}

// connKey is the key of a request's *runnerConn in its context.
type connKey struct{}

// runnerConn is a connection to a runner, on which a second answer may follow the
// first. The second is sent between two answers only.
type runnerConn struct {
	net.Conn
	mu     sync.Mutex
	busy   bool
	second []byte // to be sent, nil for none
}

// begin records that a request has arrived. A second answer to the request before
// goes out first, where the answer to this one is expected.
func (c *runnerConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	c.flush()
}

// idle records that an answer has been sent.
func (c *runnerConn) idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
}

// sendLater sends a second answer after a delay, or as soon as the next request
// has arrived.
func (c *runnerConn) sendLater(second []byte, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.second = second
	time.AfterFunc(delay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.busy {
			c.flush()
		}
	})
}

// flush sends the second answer, if there is one. The caller holds the lock.
func (c *runnerConn) flush() {
	if c.second != nil {
		_, _ = c.Write(c.second) // fails where the connection has ended
		c.second = nil
	}
}

// resetAtEnd sets whether the connection ends by a TCP reset when it is closed, also
// by the end of the process.
func (c *runnerConn) resetAtEnd(on bool) {
	seconds := -1
	if on {
		seconds = 0
	}
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(seconds)
	}
}

// reset ends the connection by a TCP reset.
func (c *runnerConn) reset() {
	c.resetAtEnd(true)
	_ = c.Close()
}
