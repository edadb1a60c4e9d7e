package gate

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/wire"
)

// Acquire processes a request for a permit. It returns the number of the
// request, which its Answer contains, and the answers that are due at once. Its
// own answer is among them unless the request has to wait.
func (c *Core) Acquire(now time.Time, request *wire.AcquireRequest) (uint64, []Answer) {
	c.lastRequest++
	a := &acquisition{id: c.lastRequest, request: request, arrived: now}
	c.crashes.Add(request.Fingerprint, request.Crashes...)
	a.alone = request.Alone || c.crashes.Suspect(request.Fingerprint)
	c.advanceClaim(now)
	if response := c.reject(now, a); response != nil {
		return a.id, []Answer{{ID: a.id, Response: response}}
	}
	return a.id, c.admit(now, a)
}

// reject returns the refusal of a request that may not wait, or nil.
func (c *Core) reject(now time.Time, a *acquisition) *wire.AcquireResponse {
	if c.crashes.Rejected(a.request.Fingerprint) {
		return c.refuse(wire.Verdict_VERDICT_SUSPECT, 0, "it stood in two crashes of endpoints")
	}
	if reason := c.BlockReason(now); reason != Open {
		return c.blocked(now, reason)
	}
	return nil
}

// blocked returns the refusal for a block reason.
func (c *Core) blocked(now time.Time, reason Bar) *wire.AcquireResponse {
	switch reason {
	case Unnamed:
		return c.refuse(wire.Verdict_VERDICT_NOT_GATE, 0, reason.String())
	case PriorGate:
		remaining := ClaimWait - now.Sub(c.claim.agreed)
		return c.refuse(wire.Verdict_VERDICT_NOT_SERVING, max(remaining, minRetryAfter), reason.String())
	default:
		return c.refuse(wire.Verdict_VERDICT_NOT_SERVING, notServingRetryAfter, reason.String())
	}
}

// admit queues a request if it can be granted in time. The answers may include
// its own permit or refusal, and the refusal of a request that was removed from
// a full queue in its favour.
func (c *Core) admit(now time.Time, a *acquisition) []Answer {
	name := a.request.Account
	account := c.account(name)
	f := c.queue.flow(name, account.Weight)
	if excess := c.estimateWait(f, a) - c.maxWait(a); excess > 0 {
		return []Answer{{ID: a.id, Response: c.busy(excess, "the queue can't reach it in time")}}
	}
	if wait := c.quota.allow(now, name, account, c.rateShare(name)); wait > 0 {
		refusal := c.refuse(wire.Verdict_VERDICT_THROTTLED, wait, "the account's rate")
		return []Answer{{ID: a.id, Response: refusal}}
	}
	var answers []Answer
	if c.queue.length >= c.setup.Limits.Queue && c.free() <= 0 {
		victim := c.queue.evict(f)
		if victim == nil {
			return []Answer{{ID: a.id, Response: c.busy(c.releaseTime(1), "the queue is full")}}
		}
		answers = append(answers, Answer{
			ID:       victim.id,
			Response: c.busy(c.releaseTime(1), "the queue is full"),
		})
	}
	c.queue.push(f, a)
	return append(answers, c.grantWaiting(now)...)
}

// maxWait returns the time for which a request may wait.
func (c *Core) maxWait(a *acquisition) time.Duration {
	return min(a.request.Wait.AsDuration(), time.Duration(c.setup.Limits.Wait))
}

// estimateWait returns the time for which a request of a flow would wait, from
// the requests that would be served before it and the rate at which its account
// is served.
func (c *Core) estimateWait(f *flow, a *acquisition) time.Duration {
	if !c.withinInflight(f) {
		return c.releaseTime(c.queue.ahead(f, a) + 1)
	}
	ahead := c.queue.ahead(f, a)
	if a.alone {
		return c.releaseTime(ahead + c.ledger.inUse())
	}
	if c.ledger.alone > 0 {
		return c.releaseTime(ahead + 1)
	}
	return max(c.releaseTime(ahead+1-c.free()), f.expectedWait(a))
}

// free returns the number of permits that can be given at once.
func (c *Core) free() int { return c.Limit() - c.ledger.inUse() }

// releaseTime returns the time in which a number of permits are released. By
// Little's law, permits are released at a rate of the limit over the mean time
// for which a permit is held.
func (c *Core) releaseTime(count int) time.Duration {
	if count <= 0 {
		return 0
	}
	hold := max(c.meanHold, time.Millisecond)
	return time.Duration(count) * hold / time.Duration(max(1, c.Limit()))
}

// withinInflight reports whether the flow's account may have another request in
// progress.
func (c *Core) withinInflight(f *flow) bool {
	limit := c.account(f.account).Inflight
	return limit <= 0 || c.ledger.accounts[f.account] < limit
}

func (c *Core) account(name string) conf.Account {
	account := c.setup.Accounts[name]
	if account.Weight <= 0 {
		account.Weight = 1
	}
	return account
}

// rateShare returns the share of an account's rate that this replica may use.
func (c *Core) rateShare(account string) float64 {
	if share, ok := c.setup.RateShares[account]; ok {
		return share
	}
	return 1
}

// grantWaiting gives permits to waiting requests as far as the limits allow.
// When the gate is blocked it refuses all waiting requests.
func (c *Core) grantWaiting(now time.Time) []Answer {
	c.advanceClaim(now)
	if reason := c.BlockReason(now); reason != Open {
		return c.refuseWaiting(now, reason)
	}
	var answers []Answer
	for c.queue.length > 0 && c.ledger.alone == 0 && c.free() > 0 {
		f := c.queue.next(c.withinInflight)
		if f == nil {
			break
		}
		if f.waiting[0].alone && c.ledger.inUse() > 0 {
			break
		}
		a := c.queue.serve(now, f)
		answers = append(answers, c.grant(now, a))
	}
	if c.free() <= 0 {
		c.adaptive.reached = true
	}
	return answers
}

// refuseWaiting refuses all waiting requests.
func (c *Core) refuseWaiting(now time.Time, reason Bar) []Answer {
	var answers []Answer
	for _, a := range c.queue.clear() {
		answers = append(answers, Answer{ID: a.id, Response: c.blocked(now, reason)})
	}
	return answers
}

// grant gives a permit. It refuses a request that reached maxCrashes crashes
// while it waited.
func (c *Core) grant(now time.Time, a *acquisition) Answer {
	request := a.request
	if c.crashes.Rejected(request.Fingerprint) {
		return Answer{ID: a.id, Response: c.refuse(wire.Verdict_VERDICT_SUSPECT, 0, "it stood in two crashes of endpoints")}
	}
	p := &permit{
		id:          c.nextID(),
		daemon:      request.Daemon,
		boot:        request.Boot,
		request:     request.Request,
		account:     request.Account,
		fingerprint: request.Fingerprint,
		granted:     now,
		crash:       crashName(c.setup.Replica.ID, c.boot),
		alone:       a.alone,
		tokens:      request.Tokens,
	}
	c.ledger.add(p)
	cached := c.cache.match(request.Prefix)
	c.cache.add(now, request.Prefix)
	response := c.newResponse(wire.Verdict_VERDICT_GRANTED)
	response.Permit = p.id
	response.Fence = c.setup.Replica.Fence
	response.Address = c.members[0].record.Address
	response.Validity = durationpb.New(now.Sub(a.arrived) + PermitValidity)
	response.Alone = a.alone
	response.Cached = uint32(cached)
	return Answer{ID: a.id, Response: response}
}

// Abandon removes a request that no longer waits from the queue. It returns the
// refusal, or nil if the request has been answered already.
func (c *Core) Abandon(id uint64) *wire.AcquireResponse {
	a := c.queue.remove(id)
	if a == nil {
		return nil
	}
	return c.busy(c.releaseTime(1), "it waited as long as it may")
}

// busy returns a refusal that asks the caller to try again after the given time.
func (c *Core) busy(after time.Duration, reason string) *wire.AcquireResponse {
	return c.refuse(wire.Verdict_VERDICT_BUSY, after, reason)
}

func (c *Core) refuse(verdict wire.Verdict, after time.Duration, reason string) *wire.AcquireResponse {
	response := c.newResponse(verdict)
	response.Reason = reason
	if verdict != wire.Verdict_VERDICT_SUSPECT {
		response.RetryAfter = durationpb.New(min(max(after, minRetryAfter), maxRetryAfter))
	}
	return response
}

// newResponse returns a response with the present load.
func (c *Core) newResponse(verdict wire.Verdict) *wire.AcquireResponse {
	return &wire.AcquireResponse{
		Verdict: verdict,
		Load:    uint32(c.ledger.inUse()),
		Queued:  uint32(c.queue.length),
		Limit:   uint32(c.Limit()),
	}
}
