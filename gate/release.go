package gate

import (
	"slices"
	"strconv"
	"time"

	"clementinehead.example/chead/wire"
)

// holdWeight is the weight of the newest time in the mean time for which a
// permit is held.
const holdWeight = 0.1

// Release ends a permit. A permit that this core doesn't hold was released or
// expired before, or was granted by the previous gate, see releaseOrphan.
func (c *Core) Release(now time.Time, release *wire.ReleaseRequest) (*wire.ReleaseResponse, []Answer) {
	p, ok := c.ledger.held[release.Permit]
	if !ok {
		c.releaseOrphan(now, release)
		return &wire.ReleaseResponse{}, c.grantWaiting(now)
	}
	c.recordEnding(now, p, release)
	switch release.Ending {
	case wire.Ending_ENDING_BROKEN:
		c.ledger.markLost(p)
	case wire.Ending_ENDING_CRASHED:
		c.crashes.AddLocal(p.fingerprint, p.crash)
		c.ledger.markLost(p)
		c.suspectLeader(now, p)
	default:
		c.ledger.remove(p)
	}
	crashes := slices.Clone(c.crashes.Crashes(p.fingerprint))
	response := &wire.ReleaseResponse{Strikes: uint32(len(crashes)), Crashes: crashes}
	return response, c.grantWaiting(now)
}

// suspectLeader stops permits after a reported crash until the answer to a
// later probe shows whether the leader restarted. A restarted endpoint is cold,
// and earlier probes could not show the restart.
func (c *Core) suspectLeader(now time.Time, p *permit) {
	if len(c.members) > 0 && p.crash == crashName(c.setup.Replica.ID, c.boot) {
		c.members[0].suspected = now
	}
}

// releaseOrphan ends a request that was dispatched with a permit of the
// previous gate. It is subtracted from the load adopted from that gate only if
// it ended after this load was counted.
func (c *Core) releaseOrphan(now time.Time, release *wire.ReleaseRequest) {
	ended := now.Add(-release.Age.AsDuration())
	if c.adoptedAt.IsZero() || ended.Before(c.adoptedAt) {
		return
	}
	if release.Ending == wire.Ending_ENDING_UNUSED || release.Ending == wire.Ending_ENDING_BROKEN {
		return
	}
	c.ledger.settleOrphan(release.Permit)
}

// recordEnding updates the state of the leader from a release.
func (c *Core) recordEnding(now time.Time, p *permit, release *wire.ReleaseRequest) {
	if p.crash != crashName(c.setup.Replica.ID, c.boot) {
		return
	}
	switch release.Ending {
	case wire.Ending_ENDING_COMPLETE:
		c.recordCompletion(now, p, release)
	case wire.Ending_ENDING_REFUSED:
		c.adaptive.decrease(now)
	}
}

// recordCompletion processes a request that the endpoint completed.
func (c *Core) recordCompletion(now time.Time, p *permit, release *wire.ReleaseRequest) {
	c.crashes.RemoveLocal(p.fingerprint)
	if !p.orphan && !p.lost {
		c.ownCompleted++
		c.completed = max(c.completed, c.ownCompleted)
	}
	c.updateMeanHold(now.Sub(p.granted))
	first := release.FirstToken.AsDuration()
	if first <= 0 {
		return
	}
	c.adaptive.addFirstToken(now, first, c.setup.Ramp.Full)
	if c.adaptive.detectCold() {
		c.coldBase = c.completed
		c.coldUntil = now.Add(coldTime)
	}
}

func (c *Core) updateMeanHold(hold time.Duration) {
	if c.meanHold == 0 {
		c.meanHold = hold
		return
	}
	c.meanHold += time.Duration(holdWeight * float64(hold-c.meanHold))
}

// crashName returns the name of the crash that ends the given boot of a
// replica's leader.
func crashName(replica string, boot uint64) string {
	return replica + "/" + strconv.FormatUint(boot, 10)
}
