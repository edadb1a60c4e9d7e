package fakes

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"
)

// bufferBody reads a request's whole body. Only then does net/http notice that
// the caller disconnects, and cancel the request's context. It aborts the
// handler if the body is cut short.
func bufferBody(r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
}

// sleepOrDone waits for d, for done or for the end of ctx, whichever comes
// first.
func sleepOrDone(ctx context.Context, done <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-done:
	case <-ctx.Done():
	}
}
