package entry

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/view"
	"clementinehead.example/chead/wire"
)

const (
	maxReplicas       = 4               // replicas that are asked for a permit without waiting
	maxInterim        = 2               // interim gates that are tried where a gate is unreachable
	gateTimeout       = 2 * time.Second // for a gate's response, in addition to the time that a request may wait there
	defaultRetryAfter = time.Second     // for callers, where no gate gave a longer time
)

// errNoReplica is the cause of a refusal where no replica can take the request.
var errNoReplica = errors.New("no replica serves")

// acquisition is the search for one permit over several gates.
type acquisition struct {
	entry      *Entry
	job        *job
	crashes    []string      // names of the crashes at which the request was in progress, as last reported by a gate
	alone      bool          // run with no other request in the batch
	busy       bool          // at least one gate had no permit free
	retryAfter time.Duration // shortest time after which a busy gate may have a permit
	soonest    view.Location // replica whose gate gave retryAfter
	throttled  *Error        // set where a gate refused the account for its share of the rate there
}

// acquire requests a permit from the gates of the replicas in turn. Replicas
// that failed the job come last. Where all of them are busy, it waits at one
// gate.
func (t *tries) acquire(ctx context.Context) (*permit, *Error) {
	e, j := t.entry, t.job
	v := e.options.View()
	locations := e.options.Order(v, j.account, j.completion.model, j.completion.prefix, e.options.Domain)
	locations = t.failedLast(locations)
	if len(locations) == 0 {
		return nil, unavailable(errNoReplica)
	}
	a := &acquisition{entry: e, job: j, crashes: t.crashes, alone: t.suspect}
	for _, location := range locations[:min(len(locations), maxReplicas)] {
		p, err := a.request(ctx, location, 0)
		if p != nil || err != nil {
			return p, err
		}
	}
	return a.wait(ctx, time.Duration(v.Document.Limits.Wait))
}

// failedLast moves the replicas that failed this job, or another one recently,
// behind the rest.
func (t *tries) failedLast(locations []view.Location) []view.Location {
	if len(t.failed) == 0 && t.entry.ejected.empty() {
		return locations
	}
	var first, rest []view.Location
	for _, location := range locations {
		if t.failed[location.Replica.ID] || t.entry.ejected.has(location.Replica.ID) {
			rest = append(rest, location)
		} else {
			first = append(first, location)
		}
	}
	return append(first, rest...)
}

// wait queues at the gate that expects to have a permit first, provided that
// all gates are busy and the permit is expected within maxWait and the
// deadline.
func (a *acquisition) wait(ctx context.Context, maxWait time.Duration) (*permit, *Error) {
	switch {
	case !a.busy && a.throttled != nil:
		return nil, a.throttled
	case !a.busy:
		return nil, unavailable(errNoReplica)
	}
	maxWait = min(maxWait, time.Until(a.job.deadline))
	if maxWait > 0 && a.retryAfter <= maxWait {
		p, err := a.request(ctx, a.soonest, maxWait)
		if p != nil || err != nil {
			return p, err
		}
	}
	err := reject("acquire", Busy, nil)
	err.Retry = max(a.retryAfter, defaultRetryAfter)
	return nil, err
}

// unavailable returns the error of a request that no replica can take now.
func unavailable(cause error) *Error {
	err := reject("acquire", Unavailable, cause)
	err.Retry = defaultRetryAfter
	return err
}

// request requests a permit for one replica: from its gate first, and from the
// interim gates where that daemon is unreachable or is no longer the gate. It
// returns neither a permit nor an error where another replica may be tried.
func (a *acquisition) request(ctx context.Context, location view.Location, wait time.Duration) (*permit, *Error) {
	p, err, answered := a.requestFrom(ctx, location, location.Replica.Gate, wait)
	if answered || err != nil {
		return p, err
	}
	for _, id := range a.entry.interimGates(location) {
		p, err, answered = a.requestFrom(ctx, location, id, wait)
		if answered || err != nil {
			return p, err
		}
	}
	return nil, nil
}

// requestFrom requests a permit from one daemon. Answered is false where the
// daemon can't be reached or isn't the replica's gate.
func (a *acquisition) requestFrom(ctx context.Context, location view.Location, id string, wait time.Duration) (p *permit, err *Error, answered bool) {
	if err := a.entry.checkActive(ctx, a.job); err != nil {
		return nil, err, false
	}
	address, ok := a.entry.peerAddress(id)
	if !ok {
		return nil, nil, false
	}
	gate := a.entry.options.Gate(address)
	sent := time.Now()
	response, failed := a.callGate(ctx, gate, location, wait)
	if failed != nil {
		return nil, a.entry.checkActive(ctx, a.job), false
	}
	if response.GetVerdict() == wire.Verdict_VERDICT_NOT_GATE {
		return nil, nil, false
	}
	a.entry.observe(location, response)
	p, err = a.evaluate(location, gate, sent, response)
	return p, err, true
}

// callGate sends the request for a permit and waits for the response.
func (a *acquisition) callGate(ctx context.Context, gate wire.GateClient, location view.Location, wait time.Duration) (*wire.AcquireResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+gateTimeout)
	defer cancel()
	j := a.job
	return gate.Acquire(ctx, &wire.AcquireRequest{
		Replica:     location.Replica.ID,
		Daemon:      a.entry.options.Self,
		Boot:        a.entry.options.Boot,
		Request:     j.id,
		Account:     j.account,
		Priority:    int32(j.priority),
		Wait:        durationpb.New(wait),
		Tokens:      uint32(j.completion.maxTokens),
		Prefix:      j.completion.prefix,
		Alone:       a.alone,
		Fingerprint: shortFingerprint(j.fingerprint),
		Crashes:     a.crashes,
	})
}

// evaluate turns a gate's response into a permit, a final error or neither.
func (a *acquisition) evaluate(location view.Location, gate wire.GateClient, sent time.Time, response *wire.AcquireResponse) (*permit, *Error) {
	switch response.GetVerdict() {
	case wire.Verdict_VERDICT_GRANTED:
		return a.newPermit(location, gate, sent, response), nil
	case wire.Verdict_VERDICT_THROTTLED:
		a.recordThrottled(response)
	case wire.Verdict_VERDICT_SUSPECT:
		// Earlier dispatches ran, at least in part.
		return nil, &Error{Op: "acquire", Kind: Suspect, Ran: engine.Unknown, Err: gateReason(response)}
	case wire.Verdict_VERDICT_BUSY:
		a.recordBusy(location, response.GetRetryAfter().AsDuration())
	}
	return nil, nil
}

// recordThrottled records a refusal for the account's rate, and the shortest time
// after which one of the replicas accepts the account again. Each replica
// limits the account to a share of its rate, so the others are tried
// nevertheless.
func (a *acquisition) recordThrottled(response *wire.AcquireResponse) {
	retryAfter := max(response.GetRetryAfter().AsDuration(), defaultRetryAfter)
	if a.throttled != nil && a.throttled.Retry <= retryAfter {
		return
	}
	a.throttled = reject("acquire", Throttled, gateReason(response))
	a.throttled.Retry = retryAfter
}

// recordBusy records a busy replica, and keeps the one that expects a permit
// first.
func (a *acquisition) recordBusy(location view.Location, retryAfter time.Duration) {
	if !a.busy || retryAfter < a.retryAfter {
		a.retryAfter = retryAfter
		a.soonest = location
	}
	a.busy = true
}

// gateReason returns the reason in a gate's response as an error, nil without
// one.
func gateReason(response *wire.AcquireResponse) error {
	if response.GetReason() == "" {
		return nil
	}
	return errors.New(response.GetReason())
}

// newPermit returns the granted permit. Its validity is counted from before the
// request was sent, so that it never ends later here than at the gate. A permit
// that is already stale is released, and newPermit returns nil.
func (a *acquisition) newPermit(location view.Location, gate wire.GateClient, sent time.Time, response *wire.AcquireResponse) *permit {
	p := &permit{
		location:   location,
		gate:       gate,
		number:     response.GetPermit(),
		fence:      response.GetFence(),
		address:    response.GetAddress(),
		validUntil: sent.Add(response.GetValidity().AsDuration()),
		alone:      response.GetAlone() || a.alone,
	}
	if p.stale() {
		a.entry.releaseLater(a.job, p, outcome{ending: wire.Ending_ENDING_UNUSED})
		a.recordBusy(location, 0)
		return nil
	}
	return p
}

// interimGates returns the ids of up to maxInterim interim gates of a replica.
func (e *Entry) interimGates(location view.Location) []string {
	if e.options.Interim == nil {
		return nil
	}
	ids := e.options.Interim(location)
	return ids[:min(len(ids), maxInterim)]
}

// peerAddress returns the peer address of a daemon that isn't dead.
func (e *Entry) peerAddress(id string) (string, bool) {
	d, ok := e.options.Find(id)
	if !ok || d.GetStanding() == wire.Standing_STANDING_DEAD {
		return "", false
	}
	return d.GetPeerAddress(), true
}

// observe passes a gate's response to Options.Observe, where it is set.
func (e *Entry) observe(location view.Location, response *wire.AcquireResponse) {
	if e.options.Observe != nil {
		e.options.Observe(location.Replica.ID, response)
	}
}
