package fleet

import (
	"time"

	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/store"
)

// InstanceStatus is what a keeper knows about one instance.
type InstanceStatus struct {
	Instance store.Instance
	State    string        // a state of chart/instance.json
	Since    time.Time     // time of the last state change
	Report   engine.Report // last answer
	At       time.Time     // time of the last answer; zero before the first
	Missed   int           // consecutive missed probes
	Late     int           // consecutive late answers
	Listed   time.Time     // when the instance was last in the platform's list
}

// ProbeResult is the result of one probe.
type ProbeResult struct {
	Report  engine.Report
	Err     error
	Latency time.Duration
}

// MarkListed updates what is known about an instance that is in the platform's list.
func MarkListed(seen InstanceStatus, instance store.Instance, now time.Time) InstanceStatus {
	if seen.State == "" {
		seen.State = chart.Instance().Start
		seen.Since = now
	}
	seen.Instance = instance
	seen.Listed = now
	return seen
}

// ApplyExclusion updates what is known about an instance: it is out of service while
// the configuration document or the platform excludes it.
func (p Policy) ApplyExclusion(seen InstanceStatus, document conf.Document, now time.Time) InstanceStatus {
	if Excluded(seen, document) != "" {
		return seen.apply(chart.Leave, now)
	}
	return seen.apply(chart.Admit, now)
}

// Excluded returns why an instance may not be a member, or "".
func Excluded(seen InstanceStatus, document conf.Document) string {
	switch {
	case document.Domains[seen.Instance.Domain].Out:
		return "failure domain " + seen.Instance.Domain + " out"
	case document.Instances[seen.Instance.ID].Out:
		return "instance " + seen.Instance.ID + " out"
	case seen.Instance.Status == store.Leaving:
		return "instance " + seen.Instance.ID + " leaving"
	default:
		return ""
	}
}

// Observe updates what is known about an instance after a probe. An answer from
// another instance counts as a missed probe.
func (p Policy) Observe(seen InstanceStatus, answer ProbeResult, now time.Time) InstanceStatus {
	if answer.Err != nil || answer.Report.Instance != seen.Instance.ID {
		return p.recordMiss(seen, now)
	}
	seen.Report = answer.Report
	seen.At = now
	seen.Missed = 0
	seen = seen.apply(chart.Answer, now)
	if now.Sub(seen.Since) >= p.Settle {
		seen = seen.apply(chart.Settle, now)
	}
	return p.recordLatency(seen, answer.Latency, now)
}

// recordMiss counts a missed probe.
func (p Policy) recordMiss(seen InstanceStatus, now time.Time) InstanceStatus {
	seen.Missed++
	seen = seen.apply(chart.Miss, now)
	if seen.Missed >= p.MissLimit {
		seen = seen.apply(chart.Lapse, now)
	}
	return seen
}

// recordLatency counts consecutive late answers.
func (p Policy) recordLatency(seen InstanceStatus, took time.Duration, now time.Time) InstanceStatus {
	if took <= p.LateAfter {
		seen.Late = 0
		return seen.apply(chart.Recover, now)
	}
	seen.Late++
	if seen.Late >= p.LateLimit {
		return seen.apply(chart.Lag, now)
	}
	return seen
}

// apply applies an event. It does nothing if the state does not accept the
// event.
func (s InstanceStatus) apply(event string, now time.Time) InstanceStatus {
	next, ok := chart.Instance().Next(s.State, event)
	if ok && next != s.State {
		s.State = next
		s.Since = now
	}
	return s
}

// Answers reports whether an instance answers its probes. One that is only
// suspected still does.
func (s InstanceStatus) Answers() bool {
	switch s.State {
	case chart.Live, chart.Slow, chart.Returning, chart.Suspect:
		return true
	default:
		return false
	}
}
