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

// headerTimeout limits the time in which the headers of a request must arrive.
const headerTimeout = 10 * time.Second

// actor is a task that runs alongside an HTTP server and ends with it.
type actor func(ctx context.Context) error

// serve serves a handler at an address and runs the actors alongside, until the
// server or an actor ends or the process receives SIGINT or SIGTERM. It returns nil
// after a signal.
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
