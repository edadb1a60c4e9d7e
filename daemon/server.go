package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
)

// The limits of incoming connections.
const (
	readHeaderTimeout = 5 * time.Second
	serverIdleTimeout = 2 * time.Minute
	maxHeaderBytes    = 64 << 10         // bytes
	closeTimeout      = 2 * time.Second  // for requests in progress when the roles have ended
	editTimeout       = 10 * time.Second // for edits in progress: 4 s for the store, 4 s for the daemons to confirm, and some
)

// server is an HTTP server on one address.
type server struct {
	name     string
	listener net.Listener
	http     *http.Server
	log      logr.Logger
}

func (d *Daemon) listen(name, address string, handler http.Handler, protocols *http.Protocols) (*server, error) {
	listener, err := d.options.Listen(address)
	if err != nil {
		return nil, &Error{Op: "listen " + name, Kind: Address, Err: err}
	}
	return &server{
		name:     name,
		listener: listener,
		log:      d.options.Log,
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       serverIdleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			Protocols:         protocols,
		},
	}, nil
}

// peerProtocols returns the protocols of the peer server. They include the one
// that peerTransport uses.
func peerProtocols() *http.Protocols {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &protocols
}

// run serves until the context has ended and all connections are closed.
func (s *server) run(ctx context.Context) error {
	stopped := make(chan struct{})
	cancel := context.AfterFunc(ctx, func() {
		defer close(stopped)
		s.stop(closeTimeout)
	})
	err := s.http.Serve(s.listener)
	if !cancel() {
		<-stopped
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return &Error{Op: "serve " + s.name, Kind: Address, Err: err}
}

// stop accepts no more connections, closes idle ones immediately and all others after
// the timeout.
func (s *server) stop(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		s.log.Info("connections cut off", "server", s.name, "reason", err.Error())
		_ = s.http.Close()
	}
}
