package groups

import (
	"context"
	"time"

	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
	"clementinehead.example/chead/watch"
)

// report is the latest report of an endpoint, with the status of its polling. Times
// are of the boot clock.
type report struct {
	state            site.State
	lastRequestAt    time.Duration // when a report was last requested; 0 requests one at the next poll
	stateRequestedAt time.Duration // when the report that holds state was requested
	misses           int           // consecutive requests without an answer
	missedAt         time.Duration // when the first of these was made
	inFlight         bool
	hasState         bool
	unusable         string // error of the latest answer if it could not be used, as logged
}

// noteTraffic records whether there was traffic. Every daemon does, in case it becomes
// keeper.
func (k *Keeper) noteTraffic() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.hadTraffic {
		return
	}
	k.hadTraffic = len(k.options.Demand()) > 0
	for _, m := range k.options.Alive() {
		k.hadTraffic = k.hadTraffic || m.Traffic || len(m.Demand) > 0
	}
}

// noteStalled schedules checks of the groups that other daemons report as stalled or slow.
func (k *Keeper) noteStalled() {
	now := k.options.Boot()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, m := range k.options.Alive() {
		for id, reported := range m.Endpoints {
			if reported.Stalled {
				k.checkMembers(k.checks, id, now)
			}
			if reported.Slow {
				k.checkMembers(k.slowChecks, id, now)
			}
		}
	}
}

// checkMembers schedules checks of the members of an endpoint's group, unless the term has
// ended. The lock must be held.
func (k *Keeper) checkMembers(checks map[string]time.Duration, id string, now time.Duration) {
	if k.planner == nil {
		return
	}
	for _, member := range append(k.planner.MembersOf(id), id) {
		checks[member] = now + checkDuration
	}
}

// noteSlow schedules further checks of endpoints that are slow. The lock must be held.
func (k *Keeper) noteSlow(ids []string) {
	for _, id := range ids {
		k.slowChecks[id] = k.options.Boot() + checkDuration
	}
}

// reportNewer reports whether an endpoint's own report is newer than its entry. A
// report shows the state as it was up to lag before the request.
func reportNewer(r report, e site.Endpoint, lag time.Duration) bool {
	if r.state.Started != e.State.Started {
		return r.state.Started > e.State.Started
	}
	return r.stateRequestedAt-lag > e.Seen
}

// poll requests the reports of endpoints in transition, and of those that may be
// dead.
func (k *Keeper) poll(ctx context.Context, stored *watch.Snapshot, polled []string) {
	now := k.options.Boot()
	k.mu.Lock()
	defer k.mu.Unlock()
	interval := pollInterval
	if !k.hadTraffic {
		interval = earlyPollInterval
	}
	for _, id := range polled {
		k.requestReport(ctx, stored, id, now, interval)
	}
	for id, until := range k.slowChecks {
		if now > until {
			delete(k.slowChecks, id)
			continue
		}
		k.requestReport(ctx, stored, id, now, slowInterval)
	}
	for id, until := range k.checks {
		if now > until && k.reports[id].misses == 0 {
			delete(k.checks, id)
			continue
		}
		k.requestReport(ctx, stored, id, now, checkInterval)
	}
}

// requestReport requests an endpoint's report in the background, unless it has none, a
// request is in flight or the last was made within the interval.
func (k *Keeper) requestReport(ctx context.Context, stored *watch.Snapshot, id string, now, interval time.Duration) {
	e, listed := stored.Endpoints[id]
	r := k.reports[id]
	if !listed || !hasReport(stored, e) || r.inFlight || now-r.lastRequestAt < interval {
		return
	}
	r.inFlight = true
	r.lastRequestAt = now
	k.reports[id] = r
	go k.fetch(ctx, e)
}

// hasReport reports whether an endpoint is one of those that a keeper manages. Others
// are reported as stalled too, but have no report: a request would only use a slot.
func hasReport(stored *watch.Snapshot, e site.Endpoint) bool {
	service, found := stored.Config.EngineService()
	return found && e.Service == service.Name
}

// fetch requests an endpoint's report once, as soon as fewer than maxReports are
// requested, and records the result. An endpoint that does not answer is checked for
// checkDuration. It is not held against an endpoint if this process ran so late that
// less than secondRequestAfter was left of the timeout, or if no endpoint is reached.
func (k *Keeper) fetch(ctx context.Context, e site.Endpoint) {
	defer k.wakeUp()
	leave, entered := enter(ctx, k.reporting)
	defer leave()
	if !entered {
		return
	}
	requestedAt := k.options.Boot()
	state, err := k.requestTwice(ctx, e)
	calls := len(k.orderings) + len(k.reporting)
	now := k.options.Boot()
	late := k.options.Late(requestedAt)
	lost := platform.Is(err, platform.Lost)
	if lost {
		k.options.Failed(e.ID)
	}
	pathSound := !lost || k.options.Reached(ctx, requestedAt)
	k.mu.Lock()
	defer k.mu.Unlock()
	r := k.reports[e.ID]
	r.inFlight = false
	switch {
	case err == nil && r.hasState && olderState(state, r.state):
		k.options.Log.Info("report not taken", "endpoint", e.ID, "error", "older than one before", "sequence", state.Sequence, "before", r.state.Sequence)
	case err == nil:
		r.state, r.stateRequestedAt, r.hasState, r.misses, r.unusable = state, requestedAt, true, 0, ""
	case lost && (late > reportTimeout-secondRequestAfter || !pathSound):
		k.checks[e.ID] = now + checkDuration
		k.logUncounted(e.ID, now, late, pathSound)
	case lost || platform.Is(err, platform.WrongEndpoint):
		r.misses++
		k.checks[e.ID] = now + checkDuration
		if r.misses == 1 {
			r.missedAt = requestedAt
			k.options.Log.Info("endpoint silent", "endpoint", e.ID, "error", err.Error(), "calls", calls, "late_ms", late.Milliseconds(), "counts", k.silent(r, now))
		}
	case r.unusable != err.Error():
		r.unusable = err.Error()
		k.options.Log.Info("report not taken", "endpoint", e.ID, "error", r.unusable)
	}
	k.reports[e.ID] = r
}

// olderState reports whether a state is from before an order that the endpoint had accepted
// in another state of the same life: a late answer to an earlier request.
func olderState(s, than site.State) bool {
	return s.Started == than.Started && s.Sequence < than.Sequence
}

// silent reports whether an endpoint counts as silent. One that fell silent within firstLooks
// of a term has to be so for a time: those looks are the first over this daemon's path, and
// all endpoints at once may be slow to accept its connections. The lock must be held.
func (k *Keeper) silent(r report, now time.Duration) bool {
	if r.misses == 0 || r.missedAt-k.termAt >= firstLooks {
		return r.misses > 0
	}
	return r.misses >= silenceMisses && now-r.missedAt >= silenceTime
}

// logUncounted logs that an endpoint's missing answer doesn't count, one line each
// lateLogInterval at the most. The lock must be held.
func (k *Keeper) logUncounted(id string, now, late time.Duration, pathSound bool) {
	if now < k.nextLateLog {
		return
	}
	k.nextLateLog = now + lateLogInterval
	k.options.Log.Info("silence not counted", "endpoint", id, "late_ms", late.Milliseconds(), "path_sound", pathSound)
}

// requestTwice requests an endpoint's report, and once more over another connection
// if no answer has come within secondRequestAfter, since a single packet or
// connection may be lost. It returns the first answer.
func (k *Keeper) requestTwice(ctx context.Context, e site.Endpoint) (site.State, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	type answer struct {
		state site.State
		err   error
	}
	answers := make(chan answer, 2)
	request := func() {
		state, err := k.options.Engines.Report(ctx, e)
		answers <- answer{state, err}
	}
	go request()
	second := time.NewTimer(secondRequestAfter)
	defer second.Stop()
	for pending := 1; ; {
		select {
		case <-second.C:
			pending++
			go request()
		case a := <-answers:
			pending--
			if a.err == nil || pending == 0 {
				return a.state, a.err
			}
		}
	}
}
