package entry

import (
	"context"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/wire"
)

// dispatchWithRetries dispatches a job, and dispatches it again where mayRetry
// allows it.
func (e *Entry) dispatchWithRetries(ctx context.Context, j *job, a *answer) *Error {
	e.budget.deposit(j.account, j.view.Document.Limits.Retries)
	t := &tries{entry: e, job: j, answer: a, failed: map[string]bool{}}
	for {
		err := t.dispatchOnce(ctx)
		if err == nil || !t.mayRetry(ctx, err) {
			return err
		}
		e.metrics.retries.WithLabelValues(err.Kind.String()).Inc()
		a.reset()
	}
}

// tries is what is known of one job over all its dispatches.
type tries struct {
	entry   *Entry
	job     *job
	answer  *answer
	failed  map[string]bool // replicas that failed the job
	crashes []string        // names of the crashes at which the request was in progress, as last reported by a gate
	suspect bool            // an endpoint may have crashed because of the job
	runs    int             // dispatches that may have run
	ran     engine.Ran      // whether the job has run, over all dispatches
}

// dispatchOnce acquires a permit and makes one dispatch.
func (t *tries) dispatchOnce(ctx context.Context) *Error {
	p, err := t.acquire(ctx)
	if err != nil {
		return t.withRan(err)
	}
	if p.stale() {
		t.entry.releaseLater(t.job, p, outcome{ending: wire.Ending_ENDING_UNUSED})
		return t.withRan(unavailable(errNoReplica))
	}
	if t.job.atMostOnce && t.job.recordsExpired() {
		t.entry.releaseLater(t.job, p, outcome{ending: wire.Ending_ENDING_UNUSED})
		return t.withRan(reject("acquire", Timeout, nil))
	}
	o := t.entry.dispatch(ctx, t.job, p, t.answer)
	t.recordModel(p)
	if o.err == nil {
		t.entry.releaseLater(t.job, p, o)
		return nil
	}
	t.failed[p.location.Replica.ID] = true
	t.recordFailure(o)
	t.eject(p, o)
	if o.ending == wire.Ending_ENDING_CRASHED {
		t.reportCrash(ctx, p, o)
	} else {
		t.entry.releaseLater(t.job, p, o)
	}
	return t.withRan(o.err)
}

// recordFailure counts a failed dispatch that may have run. If the endpoint
// crashed or closed the connection, the job becomes suspect: its next dispatch
// runs with no other request in the batch, so that it can't make others fail.
func (t *tries) recordFailure(o outcome) {
	if o.err.Ran != engine.No {
		t.runs++
	}
	if o.closedByPeer || o.ending == wire.Ending_ENDING_CRASHED {
		t.suspect = true
	}
}

// eject makes other jobs avoid a replica whose endpoint crashed, could not be
// reached (ENDING_UNUSED here), or whose connection broke or went silent.
func (t *tries) eject(p *permit, o outcome) {
	switch o.ending {
	case wire.Ending_ENDING_UNUSED, wire.Ending_ENDING_CRASHED, wire.Ending_ENDING_BROKEN:
		t.entry.ejected.add(p.location.Replica.ID)
	}
}

// withRan sets in an error whether the job has run, over all dispatches, and,
// for a broken or crashed dispatch of a job that may be repeated, the time after
// which the caller may send it again.
func (t *tries) withRan(err *Error) *Error {
	t.ran = max(t.ran, err.Ran)
	err.Ran = t.ran
	if !t.job.atMostOnce && (err.Kind == Broken || err.Kind == Crashed) {
		err.Retry = defaultRetryAfter
	}
	return err
}

// recordModel sets, for the usage report, the model, version and adapter of the
// replica of the last dispatch.
func (t *tries) recordModel(p *permit) {
	t.job.completion.adapter = p.location.Replica.Adapter
	t.job.completion.version = p.location.Replica.Version
	t.job.completion.servedModel = p.location.Replica.Model
}

// reportCrash reports a crash to the gate at once, because the gate's response
// decides whether and how the job runs again.
func (t *tries) reportCrash(ctx context.Context, p *permit, o outcome) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), gateTimeout)
	defer cancel()
	response, err := t.entry.releasePermit(ctx, t.job, p, o)
	if err != nil {
		t.entry.releaseLater(t.job, p, o)
		return
	}
	t.crashes = response.GetCrashes()
}

// maxRuns bounds the dispatches of a job that may have run, and the crashes that
// gates reported for its request, so that a job that crashes endpoints crashes
// those of at most two replicas.
const maxRuns = 2

// mayRetry reports whether a job may be dispatched again after an error. The
// caller must still be waiting and have received nothing, the job must be
// repeatable or can't have run, and neither maxRuns nor the account's retry
// budget may be used up. A permit that could not be acquired and a request that
// the endpoint found wrong are not tried again. mayRetry takes the retry from
// the budget.
func (t *tries) mayRetry(ctx context.Context, err *Error) bool {
	switch {
	case ctx.Err() != nil || t.answer.started:
		return false
	case t.ran != engine.No && t.job.atMostOnce:
		return false
	case err.Op == "acquire", err.Kind == BadRequest:
		return false
	case t.runs >= maxRuns || len(t.crashes) >= maxRuns:
		return false
	default:
		return t.entry.budget.withdraw(t.job.account)
	}
}
