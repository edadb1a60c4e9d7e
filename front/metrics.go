package front

import (
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the metrics of a Front. Use NewMetrics to create them.
type Metrics struct {
	requests     *prometheus.CounterVec
	retries      *prometheus.CounterVec
	accounts     *prometheus.CounterVec
	late         *prometheus.CounterVec
	sends        *prometheus.CounterVec
	otherAnswers *prometheus.CounterVec
	left         *prometheus.CounterVec
	firstEvent   prometheus.Histogram
	duration     *prometheus.HistogramVec
	wait         *prometheus.HistogramVec

	mu       sync.Mutex
	labelled map[string]bool // client accounts with a label of their own
}

const (
	maxAccountLabels = 100 // client accounts with a label of their own
	otherAccount     = "other"
)

// NewMetrics returns the metrics of a Front, registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		labelled:     map[string]bool{},
		requests:     counter("requests_total", "Requests by their end.", "outcome", "status"),
		accounts:     counter("account_requests_total", "Requests of a client account by their end.", "account", "outcome"),
		late:         counter("account_late_total", "Requests of a client account that were served after the route's target latency.", "account"),
		sends:        counter("sends_total", "Sends by model, the endpoint's failure domain and what came of them.", "model", "domain", "result"),
		otherAnswers: counter("other_answers_total", "Answers that named another request than the one sent, by connection and status.", "connection", "status"),
		retries:      counter("retries_total", "Sends beyond the first, by what ended the one before.", "cause"),
		left:         counter("left_total", "Requests whose callers left, by what had been done: waiting, sent or answering.", "stage"),
		wait:         histogram("wait_seconds", "In the line for a place, by how it ended.", 9, "model", "end"),
		duration:     histogram("seconds", "From arrival to the end.", 12, "outcome"),
		firstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "first_event_seconds", Help: "From arrival to the first event of a stream.",
			Buckets: prometheus.ExponentialBuckets(0.01, 1.8, 12),
		}),
	}
	r.MustRegister(m.requests, m.accounts, m.late, m.sends, m.retries, m.otherAnswers, m.left, m.firstEvent, m.duration, m.wait)
	return m
}

const namespace = "chead_front"

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

// histogram returns a histogram with the given number of buckets, which double
// from 5 ms.
func histogram(name, help string, buckets int, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(0.005, 2, buckets),
	}, labels)
}

// observeEnd counts the end of a request that took a time since its arrival.
func (m *Metrics) observeEnd(account, outcome string, status int, took time.Duration) {
	m.requests.WithLabelValues(outcome, strconv.Itoa(status)).Inc()
	m.accounts.WithLabelValues(m.label(account), outcome).Inc()
	m.duration.WithLabelValues(outcome).Observe(took.Seconds())
}

// observeLeft counts a request whose caller left, by what had been done.
func (m *Metrics) observeLeft(p *progress) {
	stage := "waiting"
	switch {
	case p.headSent.Load():
		stage = "answering"
	case p.sends.Load() > 0:
		stage = "sent"
	}
	m.left.WithLabelValues(stage).Inc()
}

// observeLate counts a request of an account that was served after its target latency.
func (m *Metrics) observeLate(account string) { m.late.WithLabelValues(m.label(account)).Inc() }

// label returns the metric label of a client account. The first maxAccountLabels
// accounts have a label each, and all others share otherAccount, to bound the
// number of series.
func (m *Metrics) label(account string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.labelled[account] && len(m.labelled) >= maxAccountLabels {
		return otherAccount
	}
	m.labelled[account] = true
	return account
}

// observeWait records the time that a try waited for a slot. The string end is
// "placed", or the reason why the try got no slot.
func (m *Metrics) observeWait(model, end string, waited time.Duration) {
	m.wait.WithLabelValues(model, end).Observe(waited.Seconds())
}
