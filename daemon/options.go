package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"clementinehead.example/chead/conf"
)

// Options are the dependencies of a Daemon.
type Options struct {
	Settings conf.Settings
	Build    string    // name of the program's build, for the log
	Started  time.Time // start of the process; its Unix nanoseconds are the boot number
	Listen   func(address string) (net.Listener, error)
	Dial     func(ctx context.Context, network, address string) (net.Conn, error)
	Log      logr.Logger
	Registry *prometheus.Registry
	Rand     *rand.Rand
}

func (o Options) boot() uint64 { return uint64(o.Started.UnixNano()) }
