package fakes

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"
)

// buffer reads a request's body at once: only then does a server notice that
// the caller leaves, and end the request's context. A body that breaks off
// aborts the handler.
func buffer(r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
}

// sleepOr waits for d, the channel or the context, whichever is first.
func sleepOr(ctx context.Context, done <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-done:
	case <-ctx.Done():
	}
}
