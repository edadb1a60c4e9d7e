package main

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/daemon"
)

// dialTimeout limits the time to establish a connection.
const dialTimeout = time.Second

// serveCommand holds the flags of "chead serve".
type serveCommand struct {
	Settings string `required:"" type:"existingfile" help:"Settings of this daemon, a JSON file."`
}

// Run runs a daemon until SIGTERM, SIGINT or SIGHUP, without whose handler the process
// would end at once. It then shuts down and lets requests in progress finish.
func (c serveCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer stop()
	data, err := os.ReadFile(c.Settings)
	if err != nil {
		return err
	}
	settings, err := conf.ParseSettings(data)
	if err != nil {
		return err
	}
	o := options(settings)
	captureLibraryLog(o.Log)
	d, err := daemon.New(o)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

// options returns the options of a daemon that uses the real network, clock and
// source of randomness.
func options(settings conf.Settings) daemon.Options {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	registry.MustRegister(newBuildInfo())
	dialer := &net.Dialer{Timeout: dialTimeout}
	return daemon.Options{
		Settings: settings,
		Build:    build(),
		Started:  time.Now(),
		Listen:   func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Dial:     dialer.DialContext,
		Log:      newLog(os.Stderr).WithValues("daemon", settings.ID),
		Registry: registry,
		Rand:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}
