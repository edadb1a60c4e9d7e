package engine

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// progress is how far a request came on its way out.
type progress struct {
	asked     atomic.Bool // the transport looked for a connection
	connected atomic.Bool // it got one, so bytes may have left
}

// trace returns a context under which net/http notes a request's progress.
func trace(ctx context.Context) (context.Context, *progress) {
	p := &progress{}
	hooks := &httptrace.ClientTrace{
		GetConn: func(string) { p.asked.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { p.connected.Store(true) },
	}
	return httptrace.WithClientTrace(ctx, hooks), p
}

// kind returns Unsent only where a connection was looked for and never got. A
// sender that does not report its progress is taken to have sent.
func (p *progress) kind() Kind {
	if p.asked.Load() && !p.connected.Load() {
		return Unsent
	}
	return Broken
}
