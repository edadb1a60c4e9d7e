package fleet

import (
	"time"

	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/store"
)

// Seen is what a keeper knows of one instance.
type Seen struct {
	Instance store.Instance
	State    string        // a state of chart/instance.json
	Since    time.Time     // when it came into its state
	Report   engine.Report // the last answer
	At       time.Time     // of the last answer, zero before the first
	Missed   int           // probes missed in a row
	Late     int           // late answers in a row
	Listed   time.Time     // when the platform's list last had it
}

// Answer is the outcome of one probe.
type Answer struct {
	Report engine.Report
	Err    error
	Took   time.Duration
}

// List returns what is known of an instance after the platform's list had it.
func List(seen Seen, instance store.Instance, now time.Time) Seen {
	if seen.State == "" {
		seen.State = chart.Instance().Start
		seen.Since = now
	}
	seen.Instance = instance
	seen.Listed = now
	return seen
}

// Standing returns what is known of an instance after its standing by the
// operators' document and the platform's list.
func (p Policy) Standing(seen Seen, document conf.Document, now time.Time) Seen {
	if Excluded(seen, document) != "" {
		return seen.take(chart.Leave, now)
	}
	return seen.take(chart.Admit, now)
}

// Excluded says why an instance may not work, or nothing.
func Excluded(seen Seen, document conf.Document) string {
	switch {
	case document.Domains[seen.Instance.Domain].Out:
		return "failure domain " + seen.Instance.Domain + " out"
	case document.Instances[seen.Instance.ID].Out:
		return "instance " + seen.Instance.ID + " out"
	case seen.Instance.Standing == store.Leaving:
		return "instance " + seen.Instance.ID + " leaving"
	default:
		return ""
	}
}

// Observe returns what is known of an instance after a probe.
func (p Policy) Observe(seen Seen, answer Answer, now time.Time) Seen {
	if answer.Err != nil || answer.Report.Instance != seen.Instance.ID {
		return p.missed(seen, now)
	}
	seen.Report = answer.Report
	seen.At = now
	seen.Missed = 0
	seen = seen.take(chart.Answer, now)
	if now.Sub(seen.Since) >= p.Settle {
		seen = seen.take(chart.Settle, now)
	}
	return p.timed(seen, answer.Took, now)
}

func (p Policy) missed(seen Seen, now time.Time) Seen {
	seen.Missed++
	seen = seen.take(chart.Miss, now)
	if seen.Missed >= p.Misses {
		seen = seen.take(chart.Lapse, now)
	}
	return seen
}

func (p Policy) timed(seen Seen, took time.Duration, now time.Time) Seen {
	if took <= p.Late {
		seen.Late = 0
		return seen.take(chart.Recover, now)
	}
	seen.Late++
	if seen.Late >= p.Lags {
		return seen.take(chart.Lag, now)
	}
	return seen
}

// take applies an event, and does nothing where the state doesn't take it.
func (s Seen) take(event string, now time.Time) Seen {
	next, ok := chart.Instance().Next(s.State, event)
	if ok && next != s.State {
		s.State = next
		s.Since = now
	}
	return s
}

// Answers reports whether an instance answers its probes, or did but now.
func (s Seen) Answers() bool {
	switch s.State {
	case chart.Live, chart.Slow, chart.Returning, chart.Suspect:
		return true
	default:
		return false
	}
}
