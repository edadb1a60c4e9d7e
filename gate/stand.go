package gate

import "time"

// Bar returns what keeps the core from giving permits at a moment.
func (c *Core) Bar(now time.Time) Bar {
	switch {
	case !c.setup.Named && !c.setup.Interim:
		return Unnamed
	case !c.setup.Serving:
		return NotServing
	case c.setup.TakenOut:
		return TakenOut
	}
	if c.asleep(now) {
		return Waking
	}
	for i := range c.members {
		if bar := c.members[i].bar(now, c.setup.Replica.Fence); bar != Open {
			return bar
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

// asleep reports whether the view may be old, because this process was paused:
// from then until the store vouched for the view, or the peers have had the
// time to bring a newer one.
func (c *Core) asleep(now time.Time) bool {
	if now.Sub(c.set) > pauseLimit {
		return true
	}
	if c.woken.IsZero() || c.setup.Confirmed.After(c.woken) {
		return false
	}
	return now.Sub(c.woken) < wakeWait
}

// advance moves the claim on.
func (c *Core) advance(now time.Time) {
	if !c.setup.Named && !c.setup.Interim {
		return
	}
	whole, oldest := c.whole()
	if !whole {
		return
	}
	c.claim.see(now, c.named())
	if !c.claim.held && c.claim.due(now) {
		c.adopt(now)
	}
	if c.claim.held && now.Sub(oldest) <= ProbeFresh {
		c.claim.stand(oldest, c.named())
	}
}

// named returns the fence under which this daemon was named the gate, 0 for one
// that stands in or may stand beside another.
func (c *Core) named() uint64 {
	if !c.setup.Named || c.setup.Weak {
		return 0
	}
	return c.setup.Replica.Named
}

// whole reports whether all members showed the fence at their last answered
// probe, and when the oldest of these probes was sent.
func (c *Core) whole() (bool, time.Time) {
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

// adopt takes the claim over after the wait: what the endpoint reports as in
// progress is counted as left by the gate before.
func (c *Core) adopt(now time.Time) {
	load, ok := c.recentLoad(now)
	if !ok {
		return
	}
	for range load - len(c.ledger.held) {
		c.ledger.add(&permit{id: c.nextID(), granted: now, lost: true, nameless: true})
	}
	c.adopted = now
	c.claim.held = true
}

// recentLoad returns the largest load in the reports of the last ReportLag.
func (c *Core) recentLoad(now time.Time) (int, bool) {
	var load int
	var known bool
	for _, report := range c.load {
		if now.Sub(report.at) <= ReportLag {
			load = max(load, report.load)
			known = true
		}
	}
	return load, known
}

func (c *Core) nextID() uint64 {
	c.permits++
	return c.base + c.permits
}
