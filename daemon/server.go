package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
)

// The limits of connections from others.
const (
	readHeaderLimit = 5 * time.Second
	serverIdle      = 2 * time.Minute
	maxHeader       = 64 << 10 // bytes
	closeLimit      = 2 * time.Second
)

// server is one listening address with its handler.
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
			ReadHeaderTimeout: readHeaderLimit,
			IdleTimeout:       serverIdle,
			MaxHeaderBytes:    maxHeader,
			Protocols:         protocols,
		},
	}, nil
}

// peerProtocols allow what peerTransport speaks.
func peerProtocols() *http.Protocols {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &protocols
}

// run serves until the context ends and the connections are closed.
func (s *server) run(ctx context.Context) error {
	stopped := make(chan struct{})
	cancel := context.AfterFunc(ctx, func() {
		defer close(stopped)
		s.stop()
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

// stop closes idle connections at once and the others after closeLimit.
func (s *server) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), closeLimit)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		s.log.Info("connections cut off", "server", s.name, "reason", err.Error())
		_ = s.http.Close()
	}
}
