package front

import (
	"context"
	"time"

	"clementinehead.example/chead/pick"
)

// place returns the slot of a request's next try: the one that is held for it, or
// one at any endpoint, after a wait if none is free.
func (f *Front) place(ctx context.Context, j *job) (*pick.Slot, error) {
	if slot := j.successor; slot != nil {
		j.successor = nil
		return slot, nil
	}
	return f.options.Placer.Acquire(ctx, j.placement())
}

// placement returns what a try of a request needs.
func (j *job) placement() pick.Request {
	return pick.Request{
		Service: j.service, Model: j.model, PromptTokens: j.size.Prompt, Priority: j.priority, Avoid: j.avoid, MaxWait: j.longestWait(),
		Remaining: j.route.TargetLatency - j.priorTime - time.Since(j.arrived), Retried: j.priorTime > 0, Begun: j.begun(), Resumed: j.stream.headSent,
	}
}

// begun reports whether a request may have run and there is no answer to it, so that
// to give it up is to fail it or to cut its stream.
func (j *job) begun() bool { return j.stream.headSent || j.ran > 0 && !j.hasAnswer }

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
	return !j.route.Public && j.account != "" && f.options.SnapshotAge() > f.options.MaxKeyAge()
}
