package gate

import (
	"github.com/prometheus/client_golang/prometheus"

	"clementinehead.example/chead/wire"
)

// metrics are the counters and gauges of a Gate.
type metrics struct {
	answers *prometheus.CounterVec
	probes  *prometheus.CounterVec
	blocks  *prometheus.CounterVec
	load    *prometheus.GaugeVec
	limit   *prometheus.GaugeVec
	queued  *prometheus.GaugeVec
	lost    *prometheus.GaugeVec
	reduced *prometheus.GaugeVec
}

// newMetrics returns the metrics, and registers them unless the registry is
// nil.
func newMetrics(registry prometheus.Registerer) metrics {
	m := metrics{
		answers: counter("answers_total", "Answers to requests for a permit.", "verdict"),
		probes:  counter("probes_total", "Probes of members.", "result"),
		blocks:  counter("blocks_total", "Prefix blocks of permitted requests.", "cached"),
		load:    gauge("load", "Requests in progress."),
		limit:   gauge("limit", "Requests that may be in progress."),
		queued:  gauge("queued", "Requests waiting for a permit."),
		lost:    gauge("lost", "Requests in progress whose permits nobody will release."),
		reduced: gauge("weak", "1 while only half of the limit is used."),
	}
	if registry != nil {
		registry.MustRegister(m.answers, m.probes, m.blocks, m.load, m.limit, m.queued, m.lost, m.reduced)
	}
	return m
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "chead", Subsystem: "gate", Name: name, Help: help,
	}, labels)
}

func gauge(name, help string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: "chead", Subsystem: "gate", Name: name, Help: help,
	}, []string{"replica"})
}

// countProbe counts a probe by its result.
func (m *metrics) countProbe(err error) {
	result := "answered"
	if err != nil {
		result = "failed"
	}
	m.probes.WithLabelValues(result).Inc()
}

// countBlocks counts the prefix blocks of a request that got a permit.
func (m *metrics) countBlocks(request *wire.AcquireRequest, response *wire.AcquireResponse) {
	if response.Verdict != wire.Verdict_VERDICT_GRANTED {
		return
	}
	missing := max(0, len(request.Prefix)-int(response.Cached))
	m.blocks.WithLabelValues("yes").Add(float64(response.Cached))
	m.blocks.WithLabelValues("no").Add(float64(missing))
}

// set sets the gauges of a replica.
func (m *metrics) set(status Status) {
	m.load.WithLabelValues(status.Replica).Set(float64(status.Load))
	m.limit.WithLabelValues(status.Replica).Set(float64(status.Limit))
	m.queued.WithLabelValues(status.Replica).Set(float64(status.Queued))
	m.lost.WithLabelValues(status.Replica).Set(float64(status.Lost))
	reduced := 0.0
	if status.Reduced || status.Interim {
		reduced = 1
	}
	m.reduced.WithLabelValues(status.Replica).Set(reduced)
}

// forget removes the gauges of a replica whose gate this daemon no longer is.
func (m *metrics) forget(replica string) {
	for _, vector := range []*prometheus.GaugeVec{m.load, m.limit, m.queued, m.lost, m.reduced} {
		vector.DeleteLabelValues(replica)
	}
}
