package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"clementinehead.example/chead/edge"
	"clementinehead.example/chead/logbuf"
)

// gcPercent is the heap growth, in percent, at which the garbage collector runs. It
// is below Go's default of 100, as memory is scarcer than processor time.
const gcPercent = 50

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
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	out := logbuf.New(os.Stdout)
	go out.Run(ctx)
	log := newLog(out).WithValues("daemon", settings.ID)
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(logbuf.NewMetrics(out))
	d, err := edge.New(edge.Options{Settings: settings, Log: log, Registry: registry})
	if err != nil {
		return err
	}
	go reload(ctx, file, log, d)
	err = d.Run(ctx)
	out.Flush()
	return err
}
