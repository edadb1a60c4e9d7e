package gate

import (
	"time"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/wire"
)

// Core decides which permits to give for one replica. Its methods take the time
// of an event and return the answers that are due. It is not safe for
// concurrent use.
type Core struct {
	setup        Setup
	setAt        time.Time // time of the last call of Set
	resumedAt    time.Time // time of the first call of Set after the last pause of the process
	members      []member
	claim        claim
	ledger       ledger
	queue        queue
	quota        quota
	adaptive     adaptiveLimit
	fixed        bool // disables the adaptive limit, for comparison in tests
	cache        cache
	crashes      *CrashRecord
	loads        []loadReport  // reported by the leader within ReportLag
	base         uint64        // from which permit ids count up
	lastRequest  uint64        // number of the last request
	lastPermit   uint64        // number of the last permit, added to base for its id
	address      string        // of the leader
	boot         uint64        // of the leader, as recorded
	completed    uint64        // requests that the leader completed since its boot
	coldBase     uint64        // value of completed when the leader last turned cold, from which the ramp starts again
	coldUntil    time.Time     // until then reports may include requests completed before the leader turned cold
	ownCompleted uint64        // of completed, those with permits of this gate
	meanHold     time.Duration // mean time for which a permit is held
	adoptedAt    time.Time     // when the load of the previous gate was counted, zero if never
}

// loadReport is the load in one report of the leader.
type loadReport struct {
	at   time.Time
	load int
}

// NewCore returns a Core without a replica. Permit ids count up from base,
// which must differ between daemons and boots.
func NewCore(base uint64, crashes *CrashRecord) *Core {
	return &Core{
		base:    base,
		crashes: crashes,
		ledger:  newLedger(),
		queue:   newQueue(),
		quota:   newQuota(),
		cache:   newCache(),
	}
}

// Set updates the core to a new view and roster.
func (c *Core) Set(now time.Time, setup Setup) []Answer {
	if !c.setAt.IsZero() && now.Sub(c.setAt) > pauseLimit {
		c.resumedAt = now
		c.claim.namedFence = 0 // another gate may have been named and replaced during the pause
	}
	c.setAt = now
	restored := c.setup.Reduced && !setup.Reduced
	c.setup = setup
	c.members = updateMembers(c.members, setup.Replica.Members)
	c.claim.restart(setup.Replica.Fence)
	if !setup.Named && !setup.Interim {
		c.claim.drop()
	}
	if restored {
		c.claim.forget()
	}
	c.startBoot()
	return c.grantWaiting(now)
}

// startBoot resets what is known of the leader when the record names another
// address or boot number. The requests that were in progress at an endpoint
// that restarted are recorded as in progress at its crash.
func (c *Core) startBoot() {
	var leader fleet.Member
	if len(c.members) > 0 {
		leader = c.members[0].record
	}
	if leader.Boot == c.boot && leader.Address == c.address {
		return
	}
	if leader.Address == c.address {
		c.recordCrash()
	}
	c.boot, c.address = leader.Boot, leader.Address
	c.completed, c.ownCompleted, c.coldBase = 0, 0, 0
	c.loads = nil
	c.adaptive = adaptiveLimit{}
	c.ledger.markAllLost()
}

// Probe processes a member's answer to the probe that was sent at the time
// sent. Answers to older probes are ignored.
func (c *Core) Probe(now, sent time.Time, address string, report engine.Report) []Answer {
	for i := range c.members {
		m := &c.members[i]
		if m.record.Address != address || sent.Before(m.sent) {
			continue
		}
		m.sent = sent
		m.report = report
		if i == 0 {
			c.leaderReport(now, report)
		}
	}
	return c.grantWaiting(now)
}

// leaderReport processes a report of the leader.
func (c *Core) leaderReport(now time.Time, report engine.Report) {
	if report.Boot != c.boot {
		c.recordCrash()
		return
	}
	c.completed = max(c.completed, report.Completed)
	if now.Before(c.coldUntil) {
		c.coldBase = c.completed
	}
	c.recordLoad(now, report.Running+report.Waiting)
	c.ledger.reconcile(now, report.Running+report.Waiting)
	if report.Waiting > 0 {
		c.adaptive.decrease(now)
	}
}

// recordLoad stores the reported load and drops those older than ReportLag.
func (c *Core) recordLoad(now time.Time, load int) {
	c.loads = append(c.loads, loadReport{at: now, load: load})
	for now.Sub(c.loads[0].at) > ReportLag {
		c.loads = c.loads[1:]
	}
}

// recordCrash records a restart of the leader as a crash for all requests that
// were in progress there.
func (c *Core) recordCrash() {
	if c.boot == 0 {
		return
	}
	crash := crashName(c.setup.Replica.ID, c.boot)
	for _, p := range c.ledger.held {
		if p.crash == crash {
			c.crashes.AddLocal(p.fingerprint, p.crash)
		}
	}
}

// Limit returns the number of requests that may be in progress. When two gates
// may be active at once, the named one rounds its half of the limit up and the
// interim one rounds it down, so that the halves add up to the limit.
func (c *Core) Limit() int {
	ramp := RampLimit(c.setup.Ramp, c.completed-c.coldBase)
	limit := ramp
	if !c.fixed {
		limit = min(limit, c.adaptive.current(c.setup.Ramp.Full))
	}
	switch {
	case c.setup.Interim:
		return limit / 2
	case c.setup.Reduced:
		return (limit + 1) / 2
	default:
		return limit
	}
}

// Tick processes the passing of time: the wait for the claim may end, and
// permits may expire.
func (c *Core) Tick(now time.Time) []Answer {
	c.ledger.expire(now, c.maxPermitAge())
	return c.grantWaiting(now)
}

// maxPermitAge returns the longest time from the granting of a permit to the
// end of its request.
func (c *Core) maxPermitAge() time.Duration {
	return PermitValidity + time.Duration(c.setup.Limits.Request) + permitAgeMargin
}

// Daemons processes a new roster. Permits of daemons that are dead or have
// restarted are marked lost, since nobody will release them.
func (c *Core) Daemons(now time.Time, find func(id string) (*wire.Daemon, bool)) []Answer {
	for _, p := range c.ledger.held {
		daemon, ok := find(p.daemon)
		if !ok {
			continue
		}
		if daemon.Standing == wire.Standing_STANDING_DEAD || daemon.Boot > p.boot {
			c.ledger.markLost(p)
		}
	}
	return c.grantWaiting(now)
}

// Feed processes the leader's cache events, which were requested at the given
// time.
func (c *Core) Feed(requested time.Time, feed engine.Feed) { c.cache.apply(requested, feed) }

// LastEvent returns the sequence number of the last cache event processed.
func (c *Core) LastEvent() uint64 { return c.cache.lastSequence }
