package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"clementinehead.example/chead/clock"
)

const (
	maxReadHeader = 10 * time.Second // for a request's headers
	maxIdleCaller = 2 * time.Minute  // between two requests on a connection
	maxSpread     = 5 * time.Second  // until all daemons know that one is leaving
)

// Serve takes callers' connections until Shutdown. It returns nil after that,
// and at once where Shutdown came before.
func (e *Entry) Serve(l net.Listener) error {
	server := &http.Server{
		Handler:           e,
		ReadHeaderTimeout: maxReadHeader,
		IdleTimeout:       maxIdleCaller,
		MaxHeaderBytes:    maxHeader,
	}
	if !e.begin(server) {
		return l.Close()
	}
	err := server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// begin notes the server, unless Shutdown has passed.
func (e *Entry) begin(server *http.Server) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server = server
	return !e.stopped
}

// hold notes that an answer which may name this daemon holds for a while.
func (e *Entry) hold(d time.Duration) {
	until := time.Now().Add(d)
	e.mu.Lock()
	defer e.mu.Unlock()
	if until.After(e.until) {
		e.until = until
	}
}

// Shutdown ends the callers' interface without cutting off a request. It stops
// naming this daemon, goes on taking connections until the answers that named
// it have run out, stops listening, and waits for what is in progress, and for
// what goes on behind answers. The daemon tells its peers that it is leaving
// before the call. The error is the context's where that ends first.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.leaving.Store(true)
	e.options.Log.Info("callers' interface leaves")
	hold := time.Duration(e.options.View().Document.Limits.Entries)
	e.hold(maxSpread + hold)
	if !clock.Sleep(ctx, time.Until(e.held())) {
		return ctx.Err()
	}
	e.options.Log.Info("callers' interface takes no new connections")
	if server := e.stop(); server != nil {
		if err := server.Shutdown(ctx); err != nil {
			return err
		}
	}
	return e.wait(ctx)
}

// held returns the moment at which the last answer that names this daemon runs
// out.
func (e *Entry) held() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.until
}

// stop returns the server, nil where there is none yet.
func (e *Entry) stop() *http.Server {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	return e.server
}

// wait waits for what goes on behind answers.
func (e *Entry) wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		e.work.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
