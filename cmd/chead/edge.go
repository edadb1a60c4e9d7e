package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"clementinehead.example/chead/edge"
	"clementinehead.example/chead/logbuf"
)

// gcPercent is the heap growth, in percent, at which the garbage collector runs. It
// is below Go's default of 100, as memory is scarcer than processor time.
const gcPercent = 50

// lastReadTimeout limits how long the settings file, if it can't be read, delays a stop.
const lastReadTimeout = 100 * time.Millisecond

// edgeCommand holds the flags of "chead edge".
type edgeCommand struct {
	Settings string `required:"" type:"existingfile" env:"${settings}" help:"Settings of this daemon, a JSON file."`
}

// Run runs a daemon on the users' platform until SIGTERM or SIGINT. It then shuts
// down and lets requests in progress finish.
func (c edgeCommand) Run() error {
	file := &settingsFile{path: c.Settings}
	settings, err := file.read()
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	ctx, ignore := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer ignore() // only once the stop is over: signals that follow change nothing
	out := logbuf.New(os.Stdout)
	go out.Run(ctx)
	log := newLog(out).WithValues("daemon", settings.ID)
	captureLibraryLog(log)
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(logbuf.NewMetrics(out))
	registry.MustRegister(newBuildInfo())
	d, err := edge.New(edge.Options{Settings: settings, Build: build(), Log: log, Registry: registry})
	if err != nil {
		return err
	}
	runCtx, stopRun := context.WithCancel(context.Background())
	go func() {
		defer stopRun() // after the last settings
		reload(ctx, file, log, d)
	}()
	context.AfterFunc(ctx, func() { time.AfterFunc(lastReadTimeout, stopRun) })
	err = d.Run(runCtx)
	out.Flush()
	return err
}
