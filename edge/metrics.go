package edge

import (
	"github.com/prometheus/client_golang/prometheus"

	"clementinehead.example/chead/pick"
)

// registerMetrics registers the daemon's own metrics, which none of its parts has.
func (d *Daemon) registerMetrics(registry prometheus.Registerer) {
	registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "chead_limited_endpoints", Help: "Endpoints that state a limit of requests per second.",
		}, func() float64 { return float64(d.placer.Limited()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "chead_processor_seconds_total", Help: "Processor time that this process has used.",
		}, processorSeconds),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "chead_keys_accepted", Help: "1 if API keys are accepted by the configuration, 0 until it is shown to be the newest.",
		}, func() float64 {
			if d.caughtUp() {
				return 1
			}
			return 0
		}),
	)
	registerLearned(registry, d.placer)
}

// registerLearned registers the gauges of what is learned of how much endpoints take.
func registerLearned(registry prometheus.Registerer, placer *pick.Placer) {
	registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "chead_learned_endpoints", Help: "Endpoints that take fewer requests at once than their slots, as learned.",
		}, func() float64 {
			limited, _ := placer.Learned()
			return float64(limited)
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "chead_learned_share", Help: "Part of the slots of all endpoints that learned limits leave.",
		}, func() float64 {
			_, share := placer.Learned()
			return share
		}),
	)
}
