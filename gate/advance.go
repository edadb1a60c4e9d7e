package gate

import "time"

// BlockReason returns the reason for which the core gives no permits at the
// given time.
func (c *Core) BlockReason(now time.Time) Bar {
	switch {
	case !c.setup.Named && !c.setup.Interim:
		return Unnamed
	case !c.setup.Serving:
		return NotServing
	case c.setup.TakenOut:
		return TakenOut
	}
	if c.viewStale(now) {
		return Waking
	}
	for i := range c.members {
		if reason := c.members[i].blockReason(now, c.setup.Replica.Fence); reason != Open {
			return reason
		}
	}
	if len(c.members) == 0 {
		return Silent
	}
	if !c.claim.held {
		return PriorGate
	}
	return Open
}

// viewStale reports whether the view may be out of date because this process
// was paused. It may be until the store confirms the view, or until the peers
// have had resumeWait to send a newer one.
func (c *Core) viewStale(now time.Time) bool {
	if now.Sub(c.setAt) > pauseLimit {
		return true
	}
	if c.resumedAt.IsZero() || c.setup.VerifiedAt.After(c.resumedAt) {
		return false
	}
	return now.Sub(c.resumedAt) < resumeWait
}

// advanceClaim updates the claim from the last probes.
func (c *Core) advanceClaim(now time.Time) {
	if !c.setup.Named && !c.setup.Interim {
		return
	}
	agree, oldest := c.membersAgree()
	if !agree {
		return
	}
	c.claim.setAgreed(now, c.namedFence())
	if !c.claim.held && c.claim.waitOver(now) {
		c.adopt(now)
	}
	if c.claim.held && now.Sub(oldest) <= ProbeValidity {
		c.claim.confirm(oldest, c.namedFence())
	}
}

// namedFence returns the fencing token with which this daemon was named the
// gate. It returns 0 for an interim gate and for one that may be active at the
// same time as another.
func (c *Core) namedFence() uint64 {
	if !c.setup.Named || c.setup.Reduced {
		return 0
	}
	return c.setup.Replica.GateFence
}

// membersAgree reports whether the last answered probes of all members showed
// the replica's fencing token, and when the oldest of these probes was sent.
func (c *Core) membersAgree() (bool, time.Time) {
	var oldest time.Time
	for _, m := range c.members {
		if m.sent.IsZero() || m.report.Fence != c.setup.Replica.Fence {
			return false, oldest
		}
		if oldest.IsZero() || m.sent.Before(oldest) {
			oldest = m.sent
		}
	}
	return len(c.members) > 0, oldest
}

// adopt makes the claim held after the wait. Requests that the leader reports
// beyond the permits of this gate are counted as left by the previous gate. It
// does nothing while no recent report of the load is known.
func (c *Core) adopt(now time.Time) {
	load, ok := c.recentLoad(now)
	if !ok {
		return
	}
	for range load - len(c.ledger.held) {
		c.ledger.add(&permit{id: c.nextID(), granted: now, lost: true, orphan: true})
	}
	c.adoptedAt = now
	c.claim.held = true
}

// recentLoad returns the largest load reported within the last ReportLag, and
// false if there is no such report.
func (c *Core) recentLoad(now time.Time) (int, bool) {
	var load int
	var known bool
	for _, report := range c.loads {
		if now.Sub(report.at) <= ReportLag {
			load = max(load, report.load)
			known = true
		}
	}
	return load, known
}

func (c *Core) nextID() uint64 {
	c.lastPermit++
	return c.base + c.lastPermit
}
