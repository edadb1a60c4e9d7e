package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/platform"
)

// Limits of connections that are not callers'.
const (
	headerTime = 5 * time.Second
	idleTime   = 60 * time.Second
)

// served is one of the daemon's servers.
type served struct {
	name    string
	address string
	server  *http.Server
}

// servers returns what the daemon serves at, callers' server with it.
func (d *Daemon) servers(callers *http.Server) []served {
	s := d.options.Settings
	all := []served{
		{"caller", s.Caller, callers},
		{"ready", s.Ready, small("GET "+platform.ReadyPath, http.HandlerFunc(d.guide.Readiness))},
		{"guide", s.Guide, small("GET "+platform.ResolvePath, http.HandlerFunc(d.guide.Resolve))},
	}
	if s.Metrics == "" {
		return all
	}
	metrics := promhttp.HandlerFor(d.options.Registry, promhttp.HandlerOpts{})
	return append(all, served{"metrics", s.Metrics, small("GET /metrics", metrics)})
}

// small returns a server with one path.
func small(pattern string, handler http.Handler) *http.Server {
	mux := http.NewServeMux()
	mux.Handle(pattern, handler)
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}
}

func (s served) run(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	if err := s.server.Serve(listener); err != http.ErrServerClosed {
		return &Error{Op: "serve " + s.name, Kind: Part, Err: err}
	}
	return nil
}

// leave steers callers away, goes on with connections until those who keep an
// older answer have asked again, and waits for what is in progress.
func (d *Daemon) leave(ctx context.Context, callers *http.Server) {
	d.options.Log.Info("daemon leaves", "active", d.front.Active())
	d.leaving.Store(true)
	d.front.Leave()
	clock.Sleep(ctx, leaveListen)
	ctx, cancel := context.WithTimeout(ctx, d.bounds().grace()-leaveListen-leaveMargin)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		d.options.Log.Info("requests cut off", "active", d.front.Active(), "error", err.Error())
	}
}
