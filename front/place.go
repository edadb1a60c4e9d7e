package front

import (
	"context"
	"errors"
	"time"

	"clementinehead.example/chead/pick"
)

// place returns a slot for a try of a request, after a wait if none is free. The error
// is that of pick.Placer.Acquire, errLeft, errStale or errPart.
func (f *Front) place(ctx context.Context, j *job) (*pick.Slot, error) {
	if j.left() {
		return nil, errLeft
	}
	start := time.Now()
	waitCtx, stop := j.whileThere(ctx)
	defer stop()
	slot, err := f.options.Placer.Acquire(waitCtx, j.placement())
	waited := time.Since(start)
	j.waited += waited
	if err != nil {
		j.recordQueue(err)
		f.options.Metrics.observeWait(j.model, refusalFor(err).reason, waited)
		if all, _ := j.tries.counts(); all > 0 {
			f.options.Log.Info("no place for a repeat", "id", j.id, "reason", refusalFor(err).reason, "fit", j.eligible, "left_ms", j.remaining().Milliseconds())
		}
		return nil, err
	}
	if j.left() {
		slot.Cancel()
		return nil, errLeft
	}
	if f.isStaleFor(j) {
		slot.Cancel()
		return nil, errStale
	}
	if f.options.Parts.Refused(j.parts) != "" {
		slot.Cancel()
		return nil, errPart
	}
	f.options.Metrics.observeWait(j.model, "placed", waited)
	return slot, nil
}

// recordQueue records the state of the queue in which a request got no slot.
func (j *job) recordQueue(err error) {
	var refused *pick.Error
	if errors.As(err, &refused) {
		j.queue = refused.State
		j.eligible = refused.Eligible
	}
}

// errStale is the error of a try whose account can't be confirmed any more, since
// the snapshot became too old while the request waited for a slot.
var errStale = errors.New("view too old")

// errPart is the error of a try whose prompt has a part that crashes endpoints.
var errPart = errors.New("endpoints crashed running a part of it")

// placement returns what a try of a request needs.
func (j *job) placement() pick.Request {
	return pick.Request{
		Service: j.service, Model: j.model, Account: j.account, PromptTokens: j.size.Prompt, AnswerTokens: j.size.Expected(), MaxAnswer: j.size.Answer, Priority: j.priority, Avoid: j.tries.avoid(), MaxWait: j.longestWait(),
		Remaining: j.route.TargetLatency - j.priorTime - time.Since(j.arrived), Retried: j.priorTime > 0, Begun: j.begun(), Resumed: j.stream.headSent || j.relay.Resumed, Relayed: j.relay.Daemon != "", Outdated: j.outdated,
	}
}

// begun reports whether a request may have run and there is no answer to it, so that
// to give it up is to fail it or to cut its stream.
func (j *job) begun() bool {
	_, ran := j.tries.counts()
	return j.stream.headSent || ran > 0 && j.tries.kept().status == 0
}

// longestWait returns how long a try may wait for a slot. A request that may have run
// waits as long as another endpoint could still answer it; its caller leaves sooner if
// it wants to.
func (j *job) longestWait() time.Duration {
	if j.begun() {
		return max(0, j.remaining()-minTakeover)
	}
	return min(maxWait, j.remaining()/waitDivisor)
}

// isStaleFor reports whether the snapshot is too old to confirm a request's account.
func (f *Front) isStaleFor(j *job) bool {
	return j.keyed && f.options.SnapshotAge() > f.options.MaxKeyAge()
}
