package relay

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	updates    *prometheus.CounterVec // new revisions applied, by source
	calls      *prometheus.CounterVec // calls to peers, by call and outcome
	watches    *prometheus.CounterVec // lists and watches of the store, by outcome
	unreadable prometheus.Counter     // documents that could not be read
	revision   prometheus.Gauge       // of the configuration in force
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		updates: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chead_relay_learned_total", Help: "Newer revisions taken in, by source.",
		}, []string{"source"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chead_relay_calls_total", Help: "Calls to peers, by call and outcome.",
		}, []string{"call", "outcome"}),
		watches: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chead_relay_watches_total", Help: "Lists and watches of the key-value service, by outcome.",
		}, []string{"outcome"}),
		unreadable: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chead_relay_unreadable_total", Help: "Documents that this version could not read.",
		}),
		revision: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "chead_relay_revision", Help: "Store revision of the configuration in force.",
		}),
	}
	if registry != nil {
		registry.MustRegister(m.updates, m.calls, m.watches, m.unreadable, m.revision)
	}
	return m
}

// outcome returns the value of the metric label outcome.
func outcome(err error) string {
	if err != nil {
		return "failed"
	}
	return "answered"
}
