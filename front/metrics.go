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
		requests: counter("requests_total", "Requests by their end.", "outcome", "status"),
		accounts: counter("account_requests_total", "Requests of a client account by their end.", "account", "outcome"),
		sends:    counter("sends_total", "Sends by model, the endpoint's failure domain and what came of them.", "model", "domain", "result"),
		retries:  counter("retries_total", "Sends beyond the first, by what ended the one before.", "cause"),
		waited:   histogram("wait_seconds", "In the line for a place, by how it ended.", 9, "model", "end"),
		took:     histogram("seconds", "From arrival to the end.", 12, "outcome"),
		first: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "first_event_seconds", Help: "From arrival to the first event of a stream.",
			Buckets: prometheus.ExponentialBuckets(0.01, 1.8, 12),
		}),
	}
	r.MustRegister(m.requests, m.accounts, m.sends, m.retries, m.first, m.took, m.waited)
	return m
}

const namespace = "chead_front"

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

// histogram returns one with buckets that double from 5 ms on.
func histogram(name, help string, buckets int, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(0.005, 2, buckets),
	}, labels)
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
