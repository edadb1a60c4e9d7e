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

// metrics holds the counters of the fabric domains that this daemon keeps, and their
// outages.
type metrics struct {
	down     *prometheus.CounterVec // replica-seconds that a group lacked
	stranded *prometheus.CounterVec // accelerator-seconds of answering members of loading or broken replicas
	changes  *prometheus.CounterVec
	orders   *prometheus.CounterVec
	failures *prometheus.CounterVec
	mu       sync.Mutex
	outages  map[string]*outageLog // by fabric domain
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		down: newCounter("group_down_seconds_total",
			"Replica-seconds that a group lacked, by group and cause.", "group", "cause"),
		stranded: newCounter("stranded_seconds_total",
			"Accelerator-seconds of live members of replicas that don't serve, by group and cause.", "group", "cause"),
		changes:  newCounter("changes_total", "Decisions on fabric domains, by action and cause.", "action", "cause"),
		orders:   newCounter("orders_total", "Orders that endpoints answered, by whether they then reported them.", "obeyed"),
		failures: newCounter("failures_total", "Rounds and orders that came to nothing, by kind.", "kind"),
		outages:  map[string]*outageLog{},
	}
	if registry != nil {
		registry.MustRegister(m.down, m.stranded, m.changes, m.orders, m.failures)
	}
	return m
}

func newCounter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "chead",
		Subsystem: "keeper",
		Name:      name,
		Help:      help,
	}, labels)
}

// countFailure counts an Error by its kind and ignores other errors.
func (m *metrics) countFailure(err error) {
	var keeperErr *Error
	if errors.As(err, &keeperErr) {
		m.failures.WithLabelValues(strings.ToLower(keeperErr.Kind.String())).Inc()
	}
}

// countOrder counts an order that an endpoint answered, by whether the endpoint then
// reports it.
func (m *metrics) countOrder(obeyed bool) {
	m.orders.WithLabelValues(strconv.FormatBool(obeyed)).Inc()
}

// forget drops the outages of a fabric domain.
func (m *metrics) forget(fabric string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.outages, fabric)
}

// countRound counts a round's decisions, and the replica-seconds that groups lacked
// and the accelerator-seconds that were stranded since the last round. An outage
// that opens in this round counts from its start, which may be before the last
// round. It returns the fabric domain's outages in words, the closed ones first.
func (m *metrics) countRound(value fleet.Fabric, result fleet.Result, instances map[string]fleet.InstanceStatus, v *view.View, now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.outages[value.Name]
	if l == nil {
		l = newOutageLog(now)
		m.outages[value.Name] = l
	}
	for _, cause := range result.Causes {
		m.changes.WithLabelValues(cause.Action, label(cause.Why)).Inc()
		l.record(cause, now)
	}
	elapsed := now.Sub(l.lastRound)
	l.lastRound = now
	for group := range v.Document.Groups {
		missing := result.Share[value.Name][group] - countServing(value, group)
		unnoticed := l.update(group, missing, now)
		if missing > 0 {
			downTime := max(elapsed, unnoticed)
			m.down.WithLabelValues(group, label(l.open[group].why)).Add(float64(missing) * downTime.Seconds())
		}
	}
	m.countStranded(l, value, instances, elapsed)
	return l.describeAll(now)
}

// countStranded counts the accelerator-seconds of answering members in replicas
// that are loading or broken.
func (m *metrics) countStranded(l *outageLog, value fleet.Fabric, instances map[string]fleet.InstanceStatus, elapsed time.Duration) {
	for _, replica := range value.Replicas {
		if replica.State != chart.Broken && replica.State != chart.Loading {
			continue
		}
		chips := 0
		for _, member := range replica.Members {
			if s := instances[member.Instance]; s.Answers() {
				chips += s.Instance.Chips
			}
		}
		m.stranded.WithLabelValues(replica.Group, label(l.why(replica.Group))).Add(float64(chips) * elapsed.Seconds())
	}
}

// countServing returns the number of a group's replicas that serve.
func countServing(value fleet.Fabric, group string) int {
	count := 0
	for _, replica := range value.Replicas {
		if replica.Group == group && replica.State == chart.Serving {
			count++
		}
	}
	return count
}

// label returns a kind of cause as the value of a metric label.
func label(why fleet.Why) string { return strings.ToLower(why.String()) }
