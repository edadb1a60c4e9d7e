package roster

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"

	"clementinehead.example/chead/wire"
)

type metrics struct {
	heartbeats *prometheus.CounterVec // heartbeats sent, by outcome; "suspected" is counted in addition
	changes    *prometheus.CounterVec // changes of other daemons' entries and this daemon's refutations, by standing
	lists      prometheus.Counter     // whole rosters fetched from a peer
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		heartbeats: prometheus.NewCounterVec(prometheus.CounterOpts{
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
		registry.MustRegister(m.heartbeats, m.changes, m.lists)
	}
	return m
}

// standingName returns the lower-case name of a standing, such as "alive".
func standingName(standing wire.Standing) string {
	return strings.ToLower(strings.TrimPrefix(standing.String(), "STANDING_"))
}
