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
func MarkListed(status InstanceStatus, instance store.Instance, now time.Time) InstanceStatus {
	if status.State == "" {
		status.State = chart.Instance().Start
		status.Since = now
	}
	status.Instance = instance
	status.Listed = now
	return status
}

// ApplyExclusion updates what is known about an instance: it is in state out while
// the configuration document or the platform excludes it.
func (p Policy) ApplyExclusion(status InstanceStatus, document conf.Document, now time.Time) InstanceStatus {
	if Excluded(status, document) != "" {
		return status.apply(chart.Leave, now)
	}
	return status.apply(chart.Admit, now)
}

// Excluded returns why an instance may not be a member, or "".
func Excluded(status InstanceStatus, document conf.Document) string {
	switch {
	case document.Domains[status.Instance.Domain].Out:
		return "failure domain " + status.Instance.Domain + " out"
	case document.Instances[status.Instance.ID].Out:
		return "instance " + status.Instance.ID + " out"
	case status.Instance.Status == store.Leaving:
		return "instance " + status.Instance.ID + " leaving"
	default:
		return ""
	}
}

// Observe updates what is known about an instance after a probe. An answer from
// another instance counts as a missed probe.
func (p Policy) Observe(status InstanceStatus, answer ProbeResult, now time.Time) InstanceStatus {
	if answer.Err != nil || answer.Report.Instance != status.Instance.ID {
		return p.recordMiss(status, now)
	}
	status.Report = answer.Report
	status.At = now
	status.Missed = 0
	status = status.apply(chart.Answer, now)
	if now.Sub(status.Since) >= p.Settle {
		status = status.apply(chart.Settle, now)
	}
	return p.recordLatency(status, answer.Latency, now)
}

// recordMiss counts a missed probe.
func (p Policy) recordMiss(status InstanceStatus, now time.Time) InstanceStatus {
	status.Missed++
	status = status.apply(chart.Miss, now)
	if status.Missed >= p.MissLimit {
		status = status.apply(chart.Lapse, now)
	}
	return status
}

// recordLatency counts consecutive late answers. After Policy.LateLimit of them
// the instance becomes slow; an answer in time ends that.
func (p Policy) recordLatency(status InstanceStatus, took time.Duration, now time.Time) InstanceStatus {
	if took <= p.LateAfter {
		status.Late = 0
		return status.apply(chart.Recover, now)
	}
	status.Late++
	if status.Late >= p.LateLimit {
		return status.apply(chart.Lag, now)
	}
	return status
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

// Answers reports whether an instance counts as answering its probes. One in state
// suspect still does: it missed fewer than Policy.MissLimit probes in a row. One
// that is out of service doesn't, even if it answers.
func (s InstanceStatus) Answers() bool {
	switch s.State {
	case chart.Live, chart.Slow, chart.Returning, chart.Suspect:
		return true
	default:
		return false
	}
}
