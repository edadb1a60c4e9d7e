package gate

import (
	"time"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/wire"
)

// Core decides for one replica. Its methods take the time of the event and
// return the answers that fall due. It is not safe for concurrent use.
type Core struct {
	setup   Setup
	set     time.Time // when Set was last called
	woken   time.Time // when the core was last told of a view after a pause
	members []member
	claim   claim
	ledger  ledger
	queue   queue
	quota   quota
	adapt   adapt
	fixed   bool // without the adaptive limit, for comparison
	cache   cache
	book    *Book
	load    []loadReport // of the first member, within ReportLag
	base    uint64       // added to a counter for permit ids
	asks    uint64
	permits uint64
	address string    // of the endpoint that takes the requests
	boot    uint64    // its boot number, as recorded
	done    uint64    // completed by it since its boot
	cooled  uint64    // of these, before it turned cold
	cooling time.Time // until when reports may show work from before that
	own     uint64    // of these, completed with permits of this gate
	hold    time.Duration
	adopted time.Time // when the load of the gate before was counted
}

// loadReport is the load in one report of the first member.
type loadReport struct {
	at   time.Time
	load int
}

// NewCore returns a Core that knows of no replica yet. Permit ids count from
// base, which has to differ between daemons and boots.
func NewCore(base uint64, book *Book) *Core {
	return &Core{
		base:   base,
		book:   book,
		ledger: newLedger(),
		queue:  newQueue(),
		quota:  newQuota(),
		cache:  newCache(),
	}
}

// Set tells the core of a new view or roster.
func (c *Core) Set(now time.Time, setup Setup) []Answer {
	if !c.set.IsZero() && now.Sub(c.set) > pauseLimit {
		c.woken = now
		c.claim.named = 0 // another gate may have been named and dropped meanwhile
	}
	c.set = now
	regained := c.setup.Weak && !setup.Weak
	c.setup = setup
	c.members = match(c.members, setup.Replica.Members)
	c.claim.renew(setup.Replica.Fence)
	if !setup.Named && !setup.Interim {
		c.claim.drop()
	}
	if regained {
		c.claim.doubt()
	}
	c.enter()
	return c.pump(now)
}

// enter begins a new boot of the endpoint that takes the requests, when the
// record names one. What an endpoint ran that started again stood in a crash.
func (c *Core) enter() {
	var head fleet.Member
	if len(c.members) > 0 {
		head = c.members[0].record
	}
	if head.Boot == c.boot && head.Address == c.address {
		return
	}
	if head.Address == c.address {
		c.strikeAll()
	}
	c.boot, c.address = head.Boot, head.Address
	c.done, c.own, c.cooled = 0, 0, 0
	c.load = nil
	c.adapt = adapt{}
	c.ledger.loseAll()
}

// Probe tells the core of the answer to a probe of a member that was sent at
// a moment.
func (c *Core) Probe(now, sent time.Time, address string, report engine.Report) []Answer {
	for i := range c.members {
		m := &c.members[i]
		if m.record.Address != address || sent.Before(m.sent) {
			continue
		}
		m.sent = sent
		m.report = report
		if i == 0 {
			c.head(now, report)
		}
	}
	return c.pump(now)
}

// head learns from a report of the endpoint that takes the requests.
func (c *Core) head(now time.Time, report engine.Report) {
	if report.Boot != c.boot {
		c.strikeAll()
		return
	}
	c.done = max(c.done, report.Completed)
	if now.Before(c.cooling) {
		c.cooled = c.done
	}
	c.note(now, report.Running+report.Waiting)
	c.ledger.report(now, report.Running+report.Waiting)
	if report.Waiting > 0 {
		c.adapt.lower(now)
	}
}

// note keeps the loads of the last reports.
func (c *Core) note(now time.Time, load int) {
	c.load = append(c.load, loadReport{at: now, load: load})
	for now.Sub(c.load[0].at) > ReportLag {
		c.load = c.load[1:]
	}
}

// strikeAll notes that the endpoint started again under all requests in
// progress.
func (c *Core) strikeAll() {
	if c.boot == 0 {
		return
	}
	crash := crashName(c.setup.Replica.ID, c.boot)
	for _, p := range c.ledger.held {
		if p.crash == crash {
			c.book.Strike(p.fingerprint, p.crash)
		}
	}
}

// Limit returns how many requests may be in progress. Of two gates that may
// stand at once the one that is named rounds its half up and the interim one
// rounds it down, so that together they keep the whole limit.
func (c *Core) Limit() int {
	ramp := RampLimit(c.setup.Ramp, c.done-c.cooled)
	limit := ramp
	if !c.fixed {
		limit = min(limit, c.adapt.cap(c.setup.Ramp.Full))
	}
	switch {
	case c.setup.Interim:
		return limit / 2
	case c.setup.Weak:
		return (limit + 1) / 2
	default:
		return limit
	}
}

// Tick lets time pass: the claim may fall due, and permits may end.
func (c *Core) Tick(now time.Time) []Answer {
	c.ledger.expire(now, c.life())
	return c.pump(now)
}

// life is the longest time from a permit's giving to the end of its request.
func (c *Core) life() time.Duration {
	return PermitLife + time.Duration(c.setup.Limits.Request) + lifeMargin
}

// Daemons tells the core of the roster: nobody releases the permits of daemons
// that are dead or started again.
func (c *Core) Daemons(now time.Time, find func(id string) (*wire.Daemon, bool)) []Answer {
	for _, p := range c.ledger.held {
		daemon, ok := find(p.daemon)
		if !ok {
			continue
		}
		if daemon.Standing == wire.Standing_STANDING_DEAD || daemon.Boot > p.boot {
			c.ledger.lose(p)
		}
	}
	return c.pump(now)
}

// Feed tells the core of the endpoint's cache events.
func (c *Core) Feed(asked time.Time, feed engine.Feed) { c.cache.apply(asked, feed) }

// After returns the sequence of the last cache event read.
func (c *Core) After() uint64 { return c.cache.after }
