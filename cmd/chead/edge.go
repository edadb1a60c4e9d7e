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
	"clementinehead.example/chead/lines"
)

// collectAt is the heap growth in percent at which the collector runs: memory
// is scarcer than processor time.
const collectAt = 50

type edgeCommand struct {
	Settings string `required:"" type:"existingfile" env:"${settings}" help:"Settings of this daemon, a JSON file."`
}

// Run serves on the users' platform until SIGTERM or SIGINT, then shuts down
// without cutting off a request in progress.
func (c edgeCommand) Run() error {
	settings, err := edge.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	debug.SetGCPercent(collectAt)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	out := lines.New(os.Stdout)
	go out.Run(ctx)
	log := newLog(out).WithValues("daemon", settings.ID)
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(lines.NewMetrics(out))
	d, err := edge.New(edge.Options{Settings: settings, Log: log, Registry: registry})
	if err != nil {
		return err
	}
	go reload(ctx, c.Settings, log, d)
	err = d.Run(ctx)
	out.Flush()
	return err
}
