package gate

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/wire"
)

// Ask takes a request for a permit. It returns the number by which the answer
// will name it, and the answers that are due at once, its own among them
// unless it waits.
func (c *Core) Ask(now time.Time, request *wire.AcquireRequest) (uint64, []Answer) {
	c.asks++
	a := &ask{id: c.asks, request: request, arrived: now}
	c.book.Add(request.Fingerprint, request.Crashes...)
	a.alone = request.Alone || c.book.Suspect(request.Fingerprint)
	c.advance(now)
	if response := c.reject(now, a); response != nil {
		return a.id, []Answer{{Ask: a.id, Response: response}}
	}
	return a.id, c.admit(now, a)
}

// reject returns the refusal of a request that may not even wait, or nil.
func (c *Core) reject(now time.Time, a *ask) *wire.AcquireResponse {
	if c.book.Convicted(a.request.Fingerprint) {
		return c.refuse(wire.Verdict_VERDICT_SUSPECT, 0, "it stood in two crashes of endpoints")
	}
	if bar := c.Bar(now); bar != Open {
		return c.closed(now, bar)
	}
	return nil
}

// closed returns the refusal that a bar brings about.
func (c *Core) closed(now time.Time, bar Bar) *wire.AcquireResponse {
	switch bar {
	case Unnamed:
		return c.refuse(wire.Verdict_VERDICT_NOT_GATE, 0, bar.String())
	case PriorGate:
		left := ClaimWait - now.Sub(c.claim.whole)
		return c.refuse(wire.Verdict_VERDICT_NOT_SERVING, max(left, minRetryAfter), bar.String())
	default:
		return c.refuse(wire.Verdict_VERDICT_NOT_SERVING, idleRetryAfter, bar.String())
	}
}

// admit lets a request wait when it can be served in time. The answers may
// include its own permit, its refusal, and that of one that made room.
func (c *Core) admit(now time.Time, a *ask) []Answer {
	name := a.request.Account
	account := c.account(name)
	f := c.queue.flow(name, account.Weight)
	if late := c.estimate(f, a) - c.patience(a); late > 0 {
		return []Answer{{Ask: a.id, Response: c.busy(late, "the queue can't reach it in time")}}
	}
	if wait := c.quota.allow(now, name, account, c.part(name)); wait > 0 {
		refusal := c.refuse(wire.Verdict_VERDICT_THROTTLED, wait, "the account's rate")
		return []Answer{{Ask: a.id, Response: refusal}}
	}
	var answers []Answer
	if c.queue.length >= c.setup.Limits.Queue && c.free() <= 0 {
		victim := c.queue.evict(f)
		if victim == nil {
			return []Answer{{Ask: a.id, Response: c.busy(c.drain(1), "the queue is full")}}
		}
		answers = append(answers, Answer{
			Ask:      victim.id,
			Response: c.busy(c.drain(1), "the queue is full"),
		})
	}
	c.queue.push(f, a)
	return append(answers, c.pump(now)...)
}

// patience is how long a request may wait.
func (c *Core) patience(a *ask) time.Duration {
	return min(a.request.Wait.AsDuration(), time.Duration(c.setup.Limits.Wait))
}

// estimate returns how long a request of a flow would wait: by what is served
// before it, and by the pace at which its account is served.
func (c *Core) estimate(f *flow, a *ask) time.Duration {
	if !c.within(f) {
		return c.drain(c.queue.ahead(f, a) + 1)
	}
	ahead := c.queue.ahead(f, a)
	if a.alone {
		return c.drain(ahead + c.ledger.inUse())
	}
	if c.ledger.alone > 0 {
		return c.drain(ahead + 1)
	}
	return max(c.drain(ahead+1-c.free()), f.expect(a))
}

// free returns how many permits can be given at once.
func (c *Core) free() int { return c.Limit() - c.ledger.inUse() }

// drain returns the time in which a number of permits come back: by Little's
// law the rate is the limit over the mean time that a permit is held.
func (c *Core) drain(count int) time.Duration {
	if count <= 0 {
		return 0
	}
	hold := max(c.hold, time.Millisecond)
	return time.Duration(count) * hold / time.Duration(max(1, c.Limit()))
}

// within reports whether a flow's account may have one more in progress.
func (c *Core) within(f *flow) bool {
	most := c.account(f.account).Inflight
	return most <= 0 || c.ledger.accounts[f.account] < most
}

func (c *Core) account(name string) conf.Account {
	account := c.setup.Accounts[name]
	if account.Weight <= 0 {
		account.Weight = 1
	}
	return account
}

// part returns this replica's part of an account's rate.
func (c *Core) part(account string) float64 {
	if part, ok := c.setup.Parts[account]; ok {
		return part
	}
	return 1
}

// pump gives the permits that can be given.
func (c *Core) pump(now time.Time) []Answer {
	c.advance(now)
	if bar := c.Bar(now); bar != Open {
		return c.flush(now, bar)
	}
	var answers []Answer
	for c.queue.length > 0 && c.ledger.alone == 0 && c.free() > 0 {
		f := c.queue.first(c.within)
		if f == nil {
			break
		}
		if f.asks[0].alone && c.ledger.inUse() > 0 {
			break
		}
		a := c.queue.serve(now, f)
		answers = append(answers, c.grant(now, a))
	}
	if c.free() <= 0 {
		c.adapt.bound = true
	}
	return answers
}

// flush refuses all that wait.
func (c *Core) flush(now time.Time, bar Bar) []Answer {
	var answers []Answer
	for _, a := range c.queue.clear() {
		answers = append(answers, Answer{Ask: a.id, Response: c.closed(now, bar)})
	}
	return answers
}

// grant gives a permit. A request that came to stand in two crashes while it
// waited is refused instead.
func (c *Core) grant(now time.Time, a *ask) Answer {
	request := a.request
	if c.book.Convicted(request.Fingerprint) {
		return Answer{Ask: a.id, Response: c.refuse(wire.Verdict_VERDICT_SUSPECT, 0, "it stood in two crashes of endpoints")}
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
	c.cache.pass(now, request.Prefix)
	response := c.answer(wire.Verdict_VERDICT_GRANTED)
	response.Permit = p.id
	response.Fence = c.setup.Replica.Fence
	response.Address = c.members[0].record.Address
	response.Validity = durationpb.New(now.Sub(a.arrived) + PermitLife)
	response.Alone = a.alone
	response.Cached = uint32(cached)
	return Answer{Ask: a.id, Response: response}
}

// Abandon takes a request out that no longer waits. It returns the refusal to
// give, or nil if it had its answer already.
func (c *Core) Abandon(id uint64) *wire.AcquireResponse {
	a := c.queue.remove(id)
	if a == nil {
		return nil
	}
	return c.busy(c.drain(1), "it waited as long as it may")
}

func (c *Core) busy(after time.Duration, reason string) *wire.AcquireResponse {
	return c.refuse(wire.Verdict_VERDICT_BUSY, after, reason)
}

func (c *Core) refuse(verdict wire.Verdict, after time.Duration, reason string) *wire.AcquireResponse {
	response := c.answer(verdict)
	response.Reason = reason
	if verdict != wire.Verdict_VERDICT_SUSPECT {
		response.RetryAfter = durationpb.New(min(max(after, minRetryAfter), maxRetryAfter))
	}
	return response
}

// answer returns a response that tells of the load.
func (c *Core) answer(verdict wire.Verdict) *wire.AcquireResponse {
	return &wire.AcquireResponse{
		Verdict: verdict,
		Load:    uint32(c.ledger.inUse()),
		Queued:  uint32(c.queue.length),
		Limit:   uint32(c.Limit()),
	}
}
