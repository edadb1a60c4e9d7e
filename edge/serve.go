package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"clementinehead.example/chead/front"
	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/watch"
)

// Timeouts of connections other than those of callers.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
)

// Names of servers that a stop treats by themselves.
const (
	callerName = "caller"
	peerName   = "peer"
)

// httpServer is one of the daemon's HTTP servers.
type httpServer struct {
	name    string
	address string
	server  *http.Server
}

// servers returns the daemon's HTTP servers, including the given one for callers.
func (d *Daemon) servers(callerServer *http.Server) []httpServer {
	s := d.options.Settings
	others := http.NewServeMux()
	others.HandleFunc("GET "+watch.RelayPath, d.watcher.Relay)
	others.HandleFunc("GET "+watch.IndexPath, d.watcher.Index)
	peer := newServer("/", others)
	peer.Handler = d.servePeer(others)
	peer.ConnContext = front.WithConn
	all := []httpServer{
		{callerName, s.Caller, callerServer},
		{peerName, s.Peer, peer},
		{"ready", s.Ready, newServer("GET "+platform.ReadyPath, http.HandlerFunc(d.guide.Readiness))},
		{"guide", s.Guide, newServer("GET "+platform.ResolvePath, http.HandlerFunc(d.guide.Resolve))},
	}
	if s.Metrics == "" {
		return all
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.options.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET "+WherePath, d.where)
	return append(all, httpServer{"metrics", s.Metrics, newServer("GET /", mux)})
}

// newServer returns an HTTP server with one route.
func newServer(pattern string, handler http.Handler) *http.Server {
	mux := http.NewServeMux()
	mux.Handle(pattern, handler)
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// run serves until the context ends. The error is of kind Part.
func (s httpServer) run(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	err := s.server.Serve(listener)
	if errors.Is(err, net.ErrClosed) {
		<-ctx.Done() // the daemon leaves and closed the listener; open connections are still served
		return nil
	}
	if err != http.ErrServerClosed {
		return &Error{Op: "serve " + s.name, Kind: Part, Err: err}
	}
	return nil
}
