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
	e.options.Count(sample)
}
