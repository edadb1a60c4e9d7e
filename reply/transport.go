package reply

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"clementinehead.example/chead/bound"
)

// Transport is an http.RoundTripper whose messages are answers: the error of a call, or of a
// read of its body, says if one is not. Use NewTransport to create one.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport that calls through base, whose connections it checks and
// whose heads it limits to bound.HeadLimit. Nobody else may use base.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return &Transport{base: bound.Heads(base)}
}

// Default takes the place of http.DefaultClient.
var Default = &http.Client{Transport: NewTransport(http.DefaultTransport.(*http.Transport).Clone())}

// Single returns a client whose calls have a connection each: on a kept one, a late answer
// to an earlier call would be taken for the call's.
func (t *Transport) Single() *http.Client {
	single := t.base.Clone()
	single.DisableKeepAlives = true
	return &http.Client{Transport: &Transport{base: single}}
}

// RoundTrip makes one call.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var used atomic.Pointer[Conn] // nil on a connection over TLS or HTTP/2
	hooks := &httptrace.ClientTrace{
		GotConn: func(got httptrace.GotConnInfo) {
			if c, checked := got.Conn.(*Conn); checked {
				c.Begin()
				used.Store(c)
			}
		},
		WroteRequest: func(wrote httptrace.WroteRequestInfo) {
			if c := used.Load(); c != nil {
				c.Sent(wrote.Err)
			}
		},
	}
	return t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), hooks)))
}

// CloseIdleConnections closes the connections that carry no call.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
