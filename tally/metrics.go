package tally

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	failures *prometheus.CounterVec
}

func newMetrics(registry prometheus.Registerer) metrics {
	m := metrics{
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chead_tally_failures_total",
			Help: "Usage sheets that could not be passed on, by operation.",
		}, []string{"operation"}),
	}
	registry.MustRegister(m.failures)
	return m
}
