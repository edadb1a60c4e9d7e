package groups

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"clementinehead.example/chead/platform"
)

// Metrics are the metrics of the keeper's groups and orders. Use NewMetrics.
type Metrics struct {
	groups *prometheus.GaugeVec
	orders *prometheus.CounterVec
}

// NewMetrics registers the metrics of a Keeper.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		groups: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "chead_keeper_groups", Help: "Groups by model and stage, at the daemon in office."}, []string{"model", "stage"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chead_keeper_orders_total", Help: "Orders by what came of them."}, []string{"order", "outcome"}),
	}
	r.MustRegister(m.groups, m.orders)
	return m
}

// setGroups sets the number of groups by model and stage.
func (m *Metrics) setGroups(all []*group) {
	m.groups.Reset()
	for _, g := range all {
		m.groups.WithLabelValues(g.model.Name, g.stage.String()).Inc()
	}
}

func (m *Metrics) countOrder(verb platform.Verb, err error) {
	outcome := "accepted"
	var failed *platform.Error
	if errors.As(err, &failed) {
		outcome = failed.Kind.String()
	}
	m.orders.WithLabelValues(verb.String(), outcome).Inc()
}
