package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/oklog/run"
)

// headerTimeout bounds the time that a caller takes for a request's headers.
const headerTimeout = 10 * time.Second

// actor is a task that runs beside a server and ends with it.
type actor func(ctx context.Context) error

// serve serves a handler at an address, together with actors, until one of
// them ends or the process is told to end by SIGINT or SIGTERM.
func serve(address string, handler http.Handler, actors ...actor) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	var group run.Group
	group.Add(func() error { return server.Serve(listener) }, func(error) { _ = server.Close() })
	for _, act := range actors {
		ctx, cancel := context.WithCancel(context.Background())
		group.Add(func() error { return act(ctx) }, func(error) { cancel() })
	}
	group.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	err = group.Run()
	var signal *run.SignalError
	if errors.As(err, &signal) || errors.Is(err, run.ErrSignal) {
		return nil
	}
	return err
}
