package entry

import (
	"context"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/wire"
)

// attempt dispatches a job, and dispatches it again where that is right.
func (e *Entry) attempt(ctx context.Context, j *job, a *answer) *Error {
	e.budget.earn(j.account, j.view.Document.Limits.Retries)
	t := &trial{entry: e, job: j, answer: a, avoid: map[string]bool{}}
	for {
		err := t.once(ctx)
		if err == nil || !t.again(ctx, err) {
			return err
		}
		e.metrics.retries.WithLabelValues(err.Kind.String()).Inc()
		a.restart()
	}
}

// trial is what is known of a job over all its dispatches.
type trial struct {
	entry   *Entry
	job     *job
	answer  *answer
	avoid   map[string]bool // replicas that failed it
	crashes []string        // that it stood in, as gates name them
	suspect bool            // an endpoint may have crashed under it
	runs    int             // dispatches that may have run
	ran     engine.Ran      // the most that any dispatch did
}

// once makes one dispatch.
func (t *trial) once(ctx context.Context) *Error {
	p, err := t.acquire(ctx)
	if err != nil {
		return t.word(err)
	}
	if p.stale() {
		t.entry.releaseLater(t.job, p, outcome{ending: wire.Ending_ENDING_UNUSED})
		return t.word(unavailable(errNobody))
	}
	if t.job.once && t.job.outlived() {
		t.entry.releaseLater(t.job, p, outcome{ending: wire.Ending_ENDING_UNUSED})
		return t.word(reject("acquire", Timeout, nil))
	}
	o := t.entry.dispatch(ctx, t.job, p, t.answer)
	t.place(p)
	if o.err == nil {
		t.entry.releaseLater(t.job, p, o)
		return nil
	}
	t.avoid[p.place.Replica.ID] = true
	t.implicate(o)
	t.eject(p, o)
	if o.ending == wire.Ending_ENDING_CRASHED {
		t.strike(ctx, p, o)
	} else {
		t.entry.releaseLater(t.job, p, o)
	}
	return t.word(o.err)
}

// implicate notes what a failed dispatch says of the job: one under which an
// endpoint broke off runs again with no other, so that it can't take others
// with it.
func (t *trial) implicate(o outcome) {
	if o.err.Ran != engine.No {
		t.runs++
	}
	if o.broke || o.ending == wire.Ending_ENDING_CRASHED {
		t.suspect = true
	}
}

// eject keeps other jobs away from an endpoint that is dead or out of reach.
func (t *trial) eject(p *permit, o outcome) {
	switch o.ending {
	case wire.Ending_ENDING_UNUSED, wire.Ending_ENDING_CRASHED, wire.Ending_ENDING_BROKEN:
		t.entry.ejected.add(p.place.Replica.ID)
	}
}

// word makes an error say what is true of all dispatches.
func (t *trial) word(err *Error) *Error {
	t.ran = max(t.ran, err.Ran)
	err.Ran = t.ran
	if !t.job.once && (err.Kind == Broken || err.Kind == Crashed) {
		err.Retry = defaultBack
	}
	return err
}

// place notes for the report what the job was dispatched to.
func (t *trial) place(p *permit) {
	t.job.prompt.adapter = p.place.Replica.Adapter
	t.job.prompt.version = p.place.Replica.Version
	t.job.prompt.served = p.place.Replica.Model
}

// strike tells the gate of a crash at once, since what it answers decides
// whether and how the job runs again.
func (t *trial) strike(ctx context.Context, p *permit, o outcome) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askLimit)
	defer cancel()
	response, err := t.entry.release(ctx, t.job, p, o)
	if err != nil {
		t.entry.releaseLater(t.job, p, o)
		return
	}
	t.crashes = response.GetCrashes()
}

// maxRuns bounds the dispatches of a request that may have run, so that one
// that crashes endpoints costs two replicas at most.
const maxRuns = 2

// again reports whether a job may be dispatched again after an error: nothing
// was sent to the caller, it did not run or may be repeated, and there is time
// and budget left.
func (t *trial) again(ctx context.Context, err *Error) bool {
	switch {
	case ctx.Err() != nil || t.answer.begun:
		return false
	case t.ran != engine.No && t.job.once:
		return false
	case err.Op == "acquire", err.Kind == BadRequest:
		return false
	case t.runs >= maxRuns || len(t.crashes) >= maxRuns:
		return false
	default:
		return t.entry.budget.spend(t.job.account)
	}
}
