package entry

import (
	"time"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/tally"
)

// count notes a request that had its final answer.
func (e *Entry) count(sample tally.Sample, err *Error) {
	sample.Outcome = tally.Served
	sample.Ran = engine.Yes
	sample.At = time.Now()
	if err != nil {
		sample.Outcome = err.Kind.String()
		sample.Ran = err.Ran
	}
	e.metrics.count(sample)
	if e.moving(sample.At) {
		e.metrics.moves.WithLabelValues(sample.Outcome).Inc()
	}
	e.options.Count(sample)
}

// returning is how long a failure domain counts as coming back after it was
// put into service: endpoints start slowly.
const returning = time.Minute

// moving reports whether a failure domain is out of service or coming back.
func (e *Entry) moving(now time.Time) bool {
	for _, domain := range e.options.View().Document.Domains {
		if domain.Out {
			e.moved.Store(now.UnixNano())
			return true
		}
	}
	return now.UnixNano()-e.moved.Load() < int64(returning)
}
