package soak

import (
	"fmt"
	"net/http"
	"time"
)

// check compares the answers that callers got with the acts of the runners, and
// adds each broken promise to the report.
func (r *Report) check(c *cluster, records []record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	overAttempts := []string{}
	r.Excused = map[string]int{}
	for _, rec := range records {
		e := newEvidence(c, rec.id)
		r.count(rec)
		if rec.ending != answered {
			r.Excused[e.excuse(rec)]++
		}
		for _, broken := range []string{e.checkRunsOnce(rec), e.checkNotRun(rec), e.checkAnswer(rec), e.checkInTime(rec), e.checkWhole(rec), checkAllowed(rec)} {
			if broken != "" {
				r.Failures = append(r.Failures, fmt.Sprintf("%s: %s", broken, e.describe(rec)))
			}
		}
		if attempts := routes[rec.path].attempts; attempts > 0 && e.soundRunners(rec) > attempts {
			overAttempts = append(overAttempts, rec.id)
		}
	}
	if len(overAttempts) > attemptsSlack {
		r.Failures = append(r.Failures, fmt.Sprintf("BUDGET: run more often than their routes allow: %v", overAttempts))
	}
	r.Failures = append(r.Failures, c.violations...)
	for _, d := range c.daemons {
		if unexpected, code := d.unexpectedEnds(); unexpected > 0 {
			r.Failures = append(r.Failures, fmt.Sprintf("life: daemon %s ended %d times by itself, last with code %d", d.name, unexpected, code))
		}
	}
}

const (
	attemptsSlack = 3                      // requests that may run more often than max_attempts
	lateSlack     = 500 * time.Millisecond // time after a request's limit by which it has to be answered
)

// describe says in one line what became of a request and what runners did for it.
func (e evidence) describe(rec record) string {
	began := e.cluster.began
	text := fmt.Sprintf("%s to d%d kept=%t, sent %v after the start, ended after %v (%v), status %d, %d bytes, echo %q, signature %q",
		rec.id, rec.daemon, rec.kept, rec.sent.Sub(began).Round(time.Millisecond), rec.ended.Sub(rec.sent).Round(time.Millisecond), rec.ending, rec.status, len(rec.body), rec.echo, rec.signature)
	if rec.err != nil {
		text += ", " + rec.err.Error()
	}
	for _, f := range e.cluster.faults {
		if f.step.Fault == StopDaemon && f.step.Target == rec.daemon {
			text += fmt.Sprintf("; SIGTERM %v", f.from.Sub(began).Round(time.Millisecond))
		}
	}
	for _, a := range e.acts {
		text += fmt.Sprintf("; %s %s %d at %v", a.Runner, a.Deed, a.Status, a.Time().Sub(began).Round(time.Millisecond))
	}
	return text
}

// soundRunners returns the number of runners that ran a request and were not disturbed
// meanwhile.
func (e evidence) soundRunners(rec record) int {
	names := map[string]bool{}
	for _, r := range e.runs() {
		if !e.runnerDisturbed(r.runner, rec.sent, rec.ended) {
			names[r.runner] = true
		}
	}
	return len(names)
}

// count counts a request by its result.
func (r *Report) count(rec record) {
	r.Requests++
	switch {
	case rec.served():
		r.Served++
	case rec.status == 0 || rec.cut():
		r.Lost++
	default:
		r.Refused++
	}
}

// checkRunsOnce checks that a request that may not be repeated ran at most once.
func (e evidence) checkRunsOnce(rec record) string {
	if routes[rec.path].once && len(e.runs()) > 1 {
		return "TWICE: ran twice"
	}
	return ""
}

// checkNotRun checks that a request answered with a status that means "not run"
// never ran.
func (e evidence) checkNotRun(rec record) string {
	switch rec.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if len(e.runs()) > 0 {
			return "REFUSED: said not to have run"
		}
	}
	return ""
}

// checkInTime checks that a request ended by its deadline or its route's timeout,
// unless its daemon or the path to it was disturbed.
func (e evidence) checkInTime(rec record) string {
	late := rec.ended.Sub(rec.sent) > rec.limit()+lateSlack
	if late && !e.cluster.disturbed(rec.daemon, rec.sent.Add(-callerSlack), rec.ended, KillDaemon, StopDaemon, PauseDaemon, CutCallers) {
		return "CONFIG: no end in time"
	}
	return ""
}

// checkAllowed checks that no proper request is denied.
func checkAllowed(rec record) string {
	if _, known := routes[rec.path]; !known || rec.key != "good-key" {
		return "" // sent by the probe, which asks for what may not be allowed
	}
	switch rec.status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		return "DENIED: proper, but denied"
	}
	return ""
}
