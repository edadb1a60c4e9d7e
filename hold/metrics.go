package hold

import "github.com/prometheus/client_golang/prometheus"

const namespace = "chead_hold"

// Register registers the metrics of a Book.
func Register(r prometheus.Registerer, b *Book) {
	gauge := func(name, help string, value func(State) float64) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help},
			func() float64 { return value(b.State()) }))
	}
	gauge("bytes", "Bytes held for callers and endpoints.", func(s State) float64 { return float64(s.Held) })
	gauge("peak_bytes", "Most bytes held at once since the start.", func(s State) float64 { return float64(s.Peak) })
	gauge("limit_bytes", "Most bytes that may be held.", func(State) float64 { return float64(b.limits.Total) })
	gauge("slow_requests", "Requests in progress whose caller reads slowly.", func(s State) float64 { return float64(s.Slow) })
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: "full_total", Help: "Times that there was no room for bytes to be held.",
	}, func() float64 { return float64(b.State().Full) }))
	for _, reason := range []Reason{Left, Expired, Late, Least} {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "ended_total", Help: "Requests ended for want of memory.",
			ConstLabels: prometheus.Labels{"reason": reason.String()},
		}, func() float64 { return float64(b.State().Evicted[reason]) }))
	}
}
