package roster

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"

	"clementinehead.example/chead/wire"
)

type metrics struct {
	beats   *prometheus.CounterVec // by outcome
	changes *prometheus.CounterVec // by standing
	lists   prometheus.Counter
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		beats: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chead_roster_beats_total", Help: "Heartbeats sent, by outcome.",
		}, []string{"outcome"}),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chead_roster_changes_total", Help: "Changes of other daemons' entries, by new standing.",
		}, []string{"standing"}),
		lists: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chead_roster_lists_total", Help: "Whole rosters fetched from a peer.",
		}),
	}
	if registry != nil {
		registry.MustRegister(m.beats, m.changes, m.lists)
	}
	return m
}

// name is a standing's word, such as "alive".
func name(standing wire.Standing) string {
	return strings.ToLower(strings.TrimPrefix(standing.String(), "STANDING_"))
}
