package engine

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// progress records how far the sending of a request got. The fields are named
// after the httptrace hooks that set them.
type progress struct {
	getConn atomic.Bool // the transport requested a connection
	gotConn atomic.Bool // the transport has a connection, so bytes may have been sent
}

// trace returns a context under which net/http records the progress of a
// request.
func trace(ctx context.Context) (context.Context, *progress) {
	p := &progress{}
	hooks := &httptrace.ClientTrace{
		GetConn: func(string) { p.getConn.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { p.gotConn.Store(true) },
	}
	return httptrace.WithClientTrace(ctx, hooks), p
}

// kind returns Unsent if a connection was requested and never obtained, and
// Broken otherwise. A Client.Do that calls no hooks is assumed to have sent the
// request.
func (p *progress) kind() Kind {
	if p.getConn.Load() && !p.gotConn.Load() {
		return Unsent
	}
	return Broken
}
