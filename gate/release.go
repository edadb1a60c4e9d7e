package gate

import (
	"slices"
	"strconv"
	"time"

	"clementinehead.example/chead/wire"
)

// holdWeight is the weight of the newest time in the mean time that a permit
// is held.
const holdWeight = 0.1

// Release ends a permit. Releasing it again does nothing.
func (c *Core) Release(now time.Time, release *wire.ReleaseRequest) (*wire.ReleaseResponse, []Answer) {
	p, ok := c.ledger.held[release.Permit]
	if !ok {
		c.releaseForeign(now, release)
		return &wire.ReleaseResponse{}, c.pump(now)
	}
	c.learn(now, p, release)
	switch release.Ending {
	case wire.Ending_ENDING_BROKEN:
		c.ledger.lose(p)
	case wire.Ending_ENDING_CRASHED:
		c.book.Strike(p.fingerprint, p.crash)
		c.ledger.lose(p)
		c.distrust(p)
	default:
		c.ledger.remove(p)
	}
	crashes := slices.Clone(c.book.Crashes(p.fingerprint))
	response := &wire.ReleaseResponse{Strikes: uint32(len(crashes)), Crashes: crashes}
	return response, c.pump(now)
}

// distrust gives no permit until the next probe, when the endpoint is said to
// have started again in its present boot: it may be cold already.
func (c *Core) distrust(p *permit) {
	if len(c.members) > 0 && p.crash == crashName(c.setup.Replica.ID, c.boot) {
		c.members[0].sent = time.Time{}
	}
}

// releaseForeign ends a request that a gate before let pass. Only one that
// ended after its load was counted here is taken off that load.
func (c *Core) releaseForeign(now time.Time, release *wire.ReleaseRequest) {
	ended := now.Add(-release.Age.AsDuration())
	if c.adopted.IsZero() || ended.Before(c.adopted) {
		return
	}
	if release.Ending == wire.Ending_ENDING_UNUSED || release.Ending == wire.Ending_ENDING_BROKEN {
		return
	}
	c.ledger.settle(release.Permit)
}

// learn takes what a release tells of the endpoint.
func (c *Core) learn(now time.Time, p *permit, release *wire.ReleaseRequest) {
	if p.crash != crashName(c.setup.Replica.ID, c.boot) {
		return
	}
	switch release.Ending {
	case wire.Ending_ENDING_COMPLETE:
		c.complete(now, p, release)
	case wire.Ending_ENDING_REFUSED:
		c.adapt.lower(now)
	}
}

// complete books a request that the endpoint completed.
func (c *Core) complete(now time.Time, p *permit, release *wire.ReleaseRequest) {
	c.book.Clear(p.fingerprint)
	if !p.nameless && !p.lost {
		c.own++
		c.done = max(c.done, c.own)
	}
	c.averageHold(now.Sub(p.granted))
	first := release.FirstToken.AsDuration()
	if first <= 0 {
		return
	}
	c.adapt.first(now, first, c.setup.Ramp.Full)
	if c.adapt.cold() {
		c.cooled = c.done
		c.cooling = now.Add(coolTime)
	}
}

func (c *Core) averageHold(hold time.Duration) {
	if c.hold == 0 {
		c.hold = hold
		return
	}
	c.hold += time.Duration(holdWeight * float64(hold-c.hold))
}

// crashName names the crash that would end a boot of a replica's endpoint.
func crashName(replica string, boot uint64) string {
	return replica + "/" + strconv.FormatUint(boot, 10)
}
