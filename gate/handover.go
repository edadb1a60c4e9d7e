package gate

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"clementinehead.example/chead/wire"
)

// Handover returns what the next gate has to know, for the fencing number
// that it is named under, and the time within which it has to take it. After
// that another gate may come to stand and go again. The time is not positive
// when this core did not stand a moment ago. The core gives no permit after it.
func (c *Core) Handover(now time.Time, self string, fence uint64) (*wire.HandoverRequest, time.Duration) {
	left := c.claim.left(now)
	if left <= 0 {
		return nil, 0
	}
	request := &wire.HandoverRequest{
		Replica: c.setup.Replica.ID,
		Fence:   fence,
		From:    self,
		Done:    c.done,
		Cooled:  c.cooled,
		Limit:   uint32(c.adapt.cap(c.setup.Ramp.Full)),
		Last:    c.claim.prior,
		Boot:    c.boot,
	}
	for _, p := range c.ledger.held {
		if p.nameless {
			request.Orphans++
			continue
		}
		request.Held = append(request.Held, tell(now, p))
	}
	c.claim.drop()
	c.claim.last = time.Time{}
	return request, left
}

func tell(now time.Time, p *permit) *wire.Held {
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

// Take takes a handover from the gate before. It returns false when this
// daemon is not known here as the gate under that fencing number, or stands
// already.
func (c *Core) Take(now time.Time, request *wire.HandoverRequest) (bool, []Answer) {
	if !c.setup.Named || c.claim.held || request.Fence != c.setup.Replica.Fence {
		return false, nil
	}
	for range request.Orphans {
		c.ledger.add(&permit{id: c.nextID(), granted: now, lost: true, nameless: true})
	}
	for _, held := range request.Held {
		c.ledger.add(c.told(now, request.Boot, held))
	}
	if request.Boot == c.boot {
		c.done = max(c.done, request.Done)
		c.cooled = request.Cooled
		c.adapt.limit = float64(request.Limit)
	}
	c.adopted = now
	c.claim.held = true
	return true, c.pump(now)
}

func (c *Core) told(now time.Time, boot uint64, held *wire.Held) *permit {
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
