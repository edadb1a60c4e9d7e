package edge

import (
	"github.com/prometheus/client_golang/prometheus"

	"clementinehead.example/chead/pick"
)

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
