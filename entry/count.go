package entry

import (
	"time"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/tally"
)

// count records a request that had its final answer, in the metrics and for the
// usage report.
func (e *Entry) count(sample tally.Sample, err *Error) {
	sample.Outcome = tally.Served
	sample.Ran = engine.Yes
	sample.At = time.Now()
	if err != nil {
		sample.Outcome = err.Kind.String()
		sample.Ran = err.Ran
	}
	e.metrics.count(sample)
	if e.domainDrained(sample.At) {
		e.metrics.whileDrained.WithLabelValues(sample.Outcome).Inc()
	}
	e.options.Count(sample)
}

// returnTime is how long a failure domain counts as coming back after operators
// put it back into service. Endpoints start slowly.
const returnTime = time.Minute

// domainDrained reports whether a failure domain is out of service or coming
// back.
func (e *Entry) domainDrained(now time.Time) bool {
	for _, domain := range e.options.View().Document.Domains {
		if domain.Out {
			e.lastDrained.Store(now.UnixNano())
			return true
		}
	}
	return now.UnixNano()-e.lastDrained.Load() < int64(returnTime)
}
