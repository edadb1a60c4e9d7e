package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"clementinehead.example/chead/tally"
)

// metrics are the metrics of a daemon's callers' interface. Client accounts
// aren't among the labels; the usage report by account comes from package
// tally.
type metrics struct {
	requests     *prometheus.CounterVec
	whileDrained *prometheus.CounterVec
	retries      *prometheus.CounterVec
	resumes      prometheus.Counter // attempts to resume a stream
	inProgress   prometheus.Gauge
	firstToken   prometheus.Histogram
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chead_entry_requests_total",
			Help: "Requests that had their final answer, by outcome.",
		}, []string{"outcome"}),
		whileDrained: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chead_entry_moves_total",
			Help: "Requests that had their final answer while a failure domain was out of service or coming back, by outcome.",
		}, []string{"outcome"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chead_entry_retries_total",
			Help: "Dispatches that were made again, by the code of the failure before.",
		}, []string{"code"}),
		resumes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chead_entry_resumes_total",
			Help: "Streams that were resumed on a new connection.",
		}),
		inProgress: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "chead_entry_requests_in_progress",
			Help: "Requests admitted and not yet answered.",
		}),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "chead_entry_first_token_seconds",
			Help:    "Time from acceptance to the first token.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}),
	}
	if registry != nil {
		registry.MustRegister(m.requests, m.whileDrained, m.retries, m.resumes, m.inProgress, m.firstToken)
	}
	return m
}

// count records a request that had its final answer.
func (m *metrics) count(sample tally.Sample) {
	m.requests.WithLabelValues(sample.Outcome).Inc()
	if sample.FirstToken > 0 {
		m.firstToken.Observe(float64(sample.FirstToken) / float64(time.Second))
	}
}
