package gate

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"clementinehead.example/chead/wire"
)

// Handover returns the state that the next gate needs, for the fencing token
// with which that gate is named, and the time within which it has to accept it.
// After this time a third gate may have held the claim in between. The time is
// not positive if this core has not held its claim recently. The core gives no
// permits after Handover.
func (c *Core) Handover(now time.Time, self string, fence uint64) (*wire.HandoverRequest, time.Duration) {
	remaining := c.claim.remaining(now)
	if remaining <= 0 {
		return nil, 0
	}
	request := &wire.HandoverRequest{
		Replica: c.setup.Replica.ID,
		Fence:   fence,
		From:    self,
		Done:    c.completed,
		Cooled:  c.coldBase,
		Limit:   uint32(c.adaptive.current(c.setup.Ramp.Full)),
		Last:    c.claim.lastFence,
		Boot:    c.boot,
	}
	for _, p := range c.ledger.held {
		if p.orphan {
			request.Orphans++
			continue
		}
		request.Held = append(request.Held, toHeld(now, p))
	}
	c.claim.drop()
	c.claim.lastHeld = time.Time{}
	return request, remaining
}

// toHeld returns a permit as a message of a handover.
func toHeld(now time.Time, p *permit) *wire.Held {
	return &wire.Held{
		Permit:      p.id,
		Daemon:      p.daemon,
		Boot:        p.boot,
		Request:     p.request,
		Account:     p.account,
		Fingerprint: p.fingerprint,
		Age:         durationpb.New(now.Sub(p.granted)),
		Alone:       p.alone,
	}
}

// TakeOver accepts a handover from the previous gate. It returns false if this
// daemon does not yet know that it is the gate with the request's fencing
// token, or if it already holds the claim.
func (c *Core) TakeOver(now time.Time, request *wire.HandoverRequest) (bool, []Answer) {
	if !c.setup.Named || c.claim.held || request.Fence != c.setup.Replica.Fence {
		return false, nil
	}
	for range request.Orphans {
		c.ledger.add(&permit{id: c.nextID(), granted: now, lost: true, orphan: true})
	}
	for _, held := range request.Held {
		c.ledger.add(c.fromHeld(now, request.Boot, held))
	}
	if request.Boot == c.boot {
		c.completed = max(c.completed, request.Done)
		c.coldBase = request.Cooled
		c.adaptive.limit = float64(request.Limit)
	}
	c.adoptedAt = now
	c.claim.held = true
	return true, c.grantWaiting(now)
}

// fromHeld returns the permit in a message of a handover.
func (c *Core) fromHeld(now time.Time, boot uint64, held *wire.Held) *permit {
	return &permit{
		id:          held.Permit,
		daemon:      held.Daemon,
		boot:        held.Boot,
		request:     held.Request,
		account:     held.Account,
		fingerprint: held.Fingerprint,
		granted:     now.Add(-held.Age.AsDuration()),
		crash:       crashName(c.setup.Replica.ID, boot),
		alone:       held.Alone,
		lost:        boot != c.boot,
	}
}
