package entry

import (
	"net"
	"net/http"
	"time"
)

// The limits of connections to endpoints and plain services.
const (
	maxDial     = 2 * time.Second
	maxIdle     = 30 * time.Second
	idlePerHost = 64
	maxHeader   = 64 << 10 // bytes
)

// NewTransport returns a transport to endpoints and plain services. A fresh
// one uses each connection once: net/http sends a request again only where a
// connection was in use before, so what it sends runs at most once.
func NewTransport(fresh bool) *http.Transport {
	dialer := &net.Dialer{Timeout: maxDial}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      fresh,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        maxIdle,
		MaxResponseHeaderBytes: maxHeader,
	}
}
