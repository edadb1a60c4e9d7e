package soak

import (
	"slices"
	"time"

	"clementinehead.example/chead/simul"
)

// Bounds of the users' pages.
const (
	contact    = 3 * time.Second        // contact_ms: an unplanned fault excuses for so long
	lossSlack  = 200 * time.Millisecond // loss_slack_ms: a request that no endpoint got may be lost within this time of its last byte
	takenLimit = 3 * time.Second        // a request sent later after SIGTERM may not be cut at the end of the grace
	workLimit  = grace * 5 / 6          // an endpoint still at work so long after SIGTERM excuses a cut
	stopTail   = time.Second            // the rule holds until so long after the grace
)

// clockSlack is how much sooner than by our clock a daemon or an endpoint may see a
// deadline: the daemon leaves 20 ms for the way back.
const clockSlack = 50 * time.Millisecond

// checkWhole checks that a request that was read was answered, and whole.
func (e evidence) checkWhole(rec record) string {
	if rec.ending == answered || rec.ending == malformed || e.excuse(rec) != "" {
		return ""
	}
	stop, stopped := e.cluster.lastFault(StopDaemon, rec.daemon, rec.ended)
	hangup, reread := e.cluster.lastFault(Hangup, rec.daemon, rec.ended)
	switch {
	case stopped && rec.ended.Before(stop.Add(grace+stopTail)):
		return "LOST: no whole answer around SIGTERM"
	case reread && rec.sent.Before(hangup.Add(apply)):
		return "LOST: no whole answer around SIGHUP"
	}
	return "LOST: cut off without a cause"
}

// excuse returns why the lack of a whole answer does not count, empty if it does. The
// excuses are those of the rule LOST.
func (e evidence) excuse(rec record) string {
	if rec.written.IsZero() {
		return "not sent whole"
	}
	if !e.passedOn() && rec.ending == reset && rec.status == 0 {
		return "not read" // as the reset shows
	}
	if !e.passedOn() && rec.ended.Sub(rec.written) <= lossSlack {
		return "crossed by the close"
	}
	if e.failedAll() {
		return "endpoints failed"
	}
	if e.brokeOff() {
		return "endpoint broke off, after the daemon left one"
	}
	if rec.ended.Sub(rec.sent) >= rec.limit()-clockSlack {
		return "deadline"
	}
	stop, stopped := e.cluster.lastFault(StopDaemon, rec.daemon, rec.ended)
	if stopped && !rec.sent.After(stop.Add(takenLimit)) && e.atWork(stop.Add(workLimit)) {
		return "endpoint at work at the end of the grace"
	}
	if e.disturbed(rec) {
		return "unplanned fault"
	}
	return ""
}

// disturbed reports whether an unplanned fault of the daemon, of its path or of an
// endpoint that got a request excuses its loss. Faults of the store excuse nothing.
func (e evidence) disturbed(rec record) bool {
	from := rec.sent.Add(-contact)
	kinds := []Fault{KillDaemon, PauseDaemon}
	if !rec.kept {
		kinds = append(kinds, CutCallers)
	}
	if e.cluster.disturbed(rec.daemon, from, rec.ended, kinds...) || e.cluster.beginsCut(rec) {
		return true
	}
	return slices.ContainsFunc(e.acts, func(a simul.Act) bool { return e.runnerDisturbed(a.Runner, from, rec.ended) })
}

// runnerDisturbed reports whether a fault affected a runner or the path to it within
// a time span.
func (e evidence) runnerDisturbed(name string, from, to time.Time) bool {
	i := slices.IndexFunc(e.cluster.runners, func(r *runner) bool { return r.name == name })
	return e.cluster.disturbed(i, from, to, KillRunner, PauseRunner, CutRunner)
}

// failedAll reports whether endpoints failed a request: all that ran it broke off,
// failed or lost the answer, the last one not by losing it.
func (e evidence) failedAll() bool {
	runs := e.runs()
	for i, r := range runs {
		if last := i == len(runs)-1; !r.failed() && (last || !r.lost) {
			return false
		}
	}
	return len(runs) > 0
}

// brokeOff reports whether the last endpoint at work on a request broke off its answer.
func (e evidence) brokeOff() bool { return e.lastRun().broke }

// atWork reports whether the last endpoint at work on a request was so at a time.
func (e evidence) atWork(at time.Time) bool {
	last := e.lastRun()
	return !last.began.IsZero() && !last.lost && !last.began.After(at) && (last.ended.IsZero() || last.ended.After(at))
}

// lastRun returns the run that ended last, or whose end was not seen. It isn't always the
// one that began last, since a request may run at two endpoints for a while. It is zero if
// there is none.
func (e evidence) lastRun() run {
	var last run
	for _, r := range e.runs() {
		if last.began.IsZero() || r.ended.IsZero() || !last.ended.IsZero() && r.ended.After(last.ended) {
			last = r
		}
	}
	return last
}

// lastFault returns when the newest fault of a kind began at a target before a time,
// and whether there was one.
func (c *cluster) lastFault(kind Fault, target int, before time.Time) (began time.Time, found bool) {
	for _, f := range c.faults {
		if f.step.Fault == kind && f.step.Target == target && f.from.Before(before) && f.from.After(began) {
			began, found = f.from, true
		}
	}
	return began, found
}
