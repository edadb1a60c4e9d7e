package front

import (
	"context"
	"time"

	"clementinehead.example/chead/pick"
)

// place returns the slot of a request's next try: the one that is held for it, or
// one at any endpoint, after a wait if none is free.
func (f *Front) place(ctx context.Context, j *job) (*pick.Slot, error) {
	if next := j.successor; next != nil {
		j.successor = nil
		j.opened = next.conn
		return next.slot, nil
	}
	return f.options.Placer.Acquire(ctx, j.placement())
}

// placement returns what a try of a request needs.
func (j *job) placement() pick.Request {
	return pick.Request{
		Service: j.service, Model: j.model, PromptTokens: j.size.Prompt, Priority: j.priority, Avoid: j.avoid, MaxWait: j.longestWait(),
		Remaining: j.route.TargetLatency - j.priorTime - time.Since(j.arrived), Retried: j.priorTime > 0, Resumed: j.stream.headSent,
	}
}

// longestWait returns how long a try may wait for a slot. An interrupted stream waits
// as long as another endpoint could still go on with it, since to give up is to cut it;
// its caller leaves sooner if it wants to.
func (j *job) longestWait() time.Duration {
	if j.stream.headSent {
		return max(0, j.remaining()-minTakeover)
	}
	return min(maxWait, j.remaining()/waitDivisor)
}

// isStaleFor reports whether the snapshot is too old to confirm a request's account.
func (f *Front) isStaleFor(j *job) bool {
	return !j.route.Public && j.account != "" && f.options.SnapshotAge() > f.options.MaxKeyAge()
}
