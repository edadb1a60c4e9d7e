package keeper

import (
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/view"
)

// meter keeps the counters of the fabric domains that this daemon keeps.
type meter struct {
	down     *prometheus.CounterVec // replica-seconds that a group lacked
	stranded *prometheus.CounterVec // accelerator-seconds in replicas that don't serve
	changes  *prometheus.CounterVec
	orders   *prometheus.CounterVec
	failures *prometheus.CounterVec
	mu       sync.Mutex
	ledgers  map[string]*ledger // by fabric domain
}

func newMeter(registry prometheus.Registerer) *meter {
	m := &meter{
		down: counters("group_down_seconds_total",
			"Replica-seconds that a group lacked, by group and cause.", "group", "cause"),
		stranded: counters("stranded_seconds_total",
			"Accelerator-seconds of live members of replicas that don't serve, by group and cause.", "group", "cause"),
		changes:  counters("changes_total", "Decisions on fabric domains, by action and cause.", "action", "cause"),
		orders:   counters("orders_total", "Orders that endpoints answered, by whether they then reported them.", "obeyed"),
		failures: counters("failures_total", "Rounds and orders that came to nothing, by kind.", "kind"),
		ledgers:  map[string]*ledger{},
	}
	if registry != nil {
		registry.MustRegister(m.down, m.stranded, m.changes, m.orders, m.failures)
	}
	return m
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "chead",
		Subsystem: "keeper",
		Name:      name,
		Help:      help,
	}, labels)
}

func (m *meter) failed(err error) {
	var fault *Error
	if errors.As(err, &fault) {
		m.failures.WithLabelValues(strings.ToLower(fault.Kind.String())).Inc()
	}
}

func (m *meter) ordered(obeyed bool) {
	m.orders.WithLabelValues(strconv.FormatBool(obeyed)).Inc()
}

// forget drops what is known of the outages of a fabric domain.
func (m *meter) forget(fabric string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.ledgers, fabric)
}

// round counts the time since the last round and returns the fabric domain's
// outages in words, those that are over first.
func (m *meter) round(value fleet.Fabric, result fleet.Result, seen map[string]fleet.Seen, v *view.View, now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.ledgers[value.Name]
	if l == nil {
		l = newLedger(now)
		m.ledgers[value.Name] = l
	}
	for _, cause := range result.Causes {
		m.changes.WithLabelValues(cause.Action, label(cause.Why)).Inc()
		l.note(cause, now)
	}
	passed := now.Sub(l.last)
	l.last = now
	for group := range v.Document.Groups {
		lacks := result.Share[value.Name][group] - served(value, group)
		unnoticed := l.measure(group, lacks, now)
		if lacks > 0 {
			lost := max(passed, unnoticed)
			m.down.WithLabelValues(group, label(l.open[group].why)).Add(float64(lacks) * lost.Seconds())
		}
	}
	m.strand(l, value, seen, passed)
	return l.lines(now)
}

// strand counts the accelerators that wait in replicas which don't serve.
func (m *meter) strand(l *ledger, value fleet.Fabric, seen map[string]fleet.Seen, passed time.Duration) {
	for _, replica := range value.Replicas {
		if replica.State != chart.Broken && replica.State != chart.Loading {
			continue
		}
		chips := 0
		for _, member := range replica.Members {
			if s := seen[member.Instance]; s.Answers() {
				chips += s.Instance.Chips
			}
		}
		m.stranded.WithLabelValues(replica.Group, label(l.why(replica.Group))).Add(float64(chips) * passed.Seconds())
	}
}

func served(value fleet.Fabric, group string) int {
	count := 0
	for _, replica := range value.Replicas {
		if replica.Group == group && replica.State == chart.Serving {
			count++
		}
	}
	return count
}

func label(why fleet.Why) string { return strings.ToLower(why.String()) }
