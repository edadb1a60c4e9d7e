package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"clementinehead.example/chead/bound"
	"clementinehead.example/chead/clock"
)

const (
	readHeaderTimeout = 10 * time.Second // for a request's header
	callerIdleTimeout = 2 * time.Minute  // between two requests on a connection
	spreadTime        = 5 * time.Second  // until all daemons know that one is leaving
)

// Serve accepts callers' connections until Shutdown, after which it returns
// nil. If Shutdown was called before, it closes the listener and returns.
func (e *Entry) Serve(l net.Listener) error {
	server := &http.Server{
		Handler:           e,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    bound.HeadLimit,
	}
	if !e.setServer(server) {
		return l.Close()
	}
	err := server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// setServer sets the server and reports whether it may serve: not after
// Shutdown.
func (e *Entry) setServer(server *http.Server) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server = server
	return !e.stopped
}

// extendAdvertised records that callers may use an answer that names this
// daemon for the duration d from now on.
func (e *Entry) extendAdvertised(d time.Duration) {
	until := time.Now().Add(d)
	e.mu.Lock()
	defer e.mu.Unlock()
	if until.After(e.advertisedUntil) {
		e.advertisedUntil = until
	}
}

// Shutdown ends the callers' interface without cutting off a request. It stops
// naming this daemon to callers, accepts connections until the answers that
// named it have expired, stops listening, and waits for the requests in
// progress and for the tasks in the background. The daemon must report to its
// peers that it is leaving before the call. If the context ends first, its
// error is returned.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.shuttingDown.Store(true)
	e.options.Log.Info("callers' interface shutting down")
	validity := time.Duration(e.options.View().Document.Limits.Entries)
	e.extendAdvertised(spreadTime + validity)
	if !clock.Sleep(ctx, time.Until(e.advertisedEnd())) {
		return ctx.Err()
	}
	e.options.Log.Info("callers' interface no longer accepts connections")
	if server := e.stopServer(); server != nil {
		if err := server.Shutdown(ctx); err != nil {
			return err
		}
	}
	return e.waitBackground(ctx)
}

// advertisedEnd returns the time at which the last answer that names this
// daemon expires.
func (e *Entry) advertisedEnd() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.advertisedUntil
}

// stopServer keeps a later Serve from starting. It returns the server, nil
// where there is none yet.
func (e *Entry) stopServer() *http.Server {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	return e.server
}

// waitBackground waits for the tasks in the background.
func (e *Entry) waitBackground(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		e.background.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
