package front

import (
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics count requests by their end. Use NewMetrics.
type Metrics struct {
	requests *prometheus.CounterVec
	retries  *prometheus.CounterVec
	accounts *prometheus.CounterVec
	sends    *prometheus.CounterVec
	first    prometheus.Histogram
	took     *prometheus.HistogramVec
	waited   *prometheus.HistogramVec

	mu    sync.Mutex
	named map[string]bool // accounts with a label of their own
}

const (
	mostAccounts = 100 // client accounts with a label of their own
	otherAccount = "other"
)

// NewMetrics registers the metrics of a Front.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		named:    map[string]bool{},
		accounts: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chead_front_account_requests_total", Help: "Requests of a client account by their end."}, []string{"account", "outcome"}),
		sends:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chead_front_sends_total", Help: "Sends by model, the endpoint's failure domain and what came of them."}, []string{"model", "domain", "result"}),
		waited:   prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "chead_front_wait_seconds", Help: "In the line for a place, by how it ended.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 9)}, []string{"model", "end"}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chead_front_requests_total", Help: "Requests by their end."}, []string{"outcome", "status"}),
		retries:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chead_front_retries_total", Help: "Sends beyond the first, by what ended the one before."}, []string{"cause"}),
		first:    prometheus.NewHistogram(prometheus.HistogramOpts{Name: "chead_front_first_event_seconds", Help: "From arrival to the first event of a stream.", Buckets: prometheus.ExponentialBuckets(0.01, 1.8, 12)}),
		took:     prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "chead_front_seconds", Help: "From arrival to the end.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 12)}, []string{"outcome"}),
	}
	r.MustRegister(m.requests, m.accounts, m.sends, m.retries, m.first, m.took, m.waited)
	return m
}

func (m *Metrics) ended(account, outcome string, status int, took time.Duration) {
	m.requests.WithLabelValues(outcome, strconv.Itoa(status)).Inc()
	m.accounts.WithLabelValues(m.label(account), outcome).Inc()
	m.took.WithLabelValues(outcome).Observe(took.Seconds())
}

// label returns an account's label: the first accounts have their own.
func (m *Metrics) label(account string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.named[account] && len(m.named) >= mostAccounts {
		return otherAccount
	}
	m.named[account] = true
	return account
}

// placed counts a wait in the line: end is "placed" or why there was no place.
func (m *Metrics) placed(model, end string, waited time.Duration) {
	m.waited.WithLabelValues(model, end).Observe(waited.Seconds())
}
