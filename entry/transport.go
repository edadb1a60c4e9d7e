package entry

import (
	"net"
	"net/http"
	"time"

	"clementinehead.example/chead/reply"
)

// Limits of connections to endpoints and plain services.
const (
	dialTimeout     = 2 * time.Second
	idleConnTimeout = 30 * time.Second
	maxIdlePerHost  = 64
)

// NewTransport returns a transport to endpoints and plain services. If unpooled
// is true, it uses each connection once. Package net/http repeats a request
// only on a connection that was in use before, so such a transport sends a
// request at most once.
func NewTransport(unpooled bool) *reply.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return reply.NewTransport(&http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   unpooled,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleConnTimeout,
	})
}
