package gate

import (
	"time"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/wire"
)

// Setup is what the view and the roster say of a replica.
type Setup struct {
	Replica   fleet.Replica
	Confirmed time.Time // when the store last vouched for the view
	Serving   bool      // the replica's state is that of one that serves
	TakenOut  bool      // a member or its failure domain is out of service
	Named     bool      // this daemon is the gate
	Interim   bool      // this daemon stands in for the gate, which is dead
	Weak      bool      // another gate may stand, so only half of the limit is used
	Ramp      conf.Ramp
	Limits    conf.Limits
	Accounts  map[string]conf.Account
	Parts     map[string]float64 // of each account's rate that this replica may use
}

// Answer is the answer to an Ask.
type Answer struct {
	Ask      uint64
	Response *wire.AcquireResponse
}

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
	c.claim.see(now)
	if !c.claim.held && c.claim.due(now) {
		c.adopt(now)
	}
	if c.claim.held && now.Sub(oldest) <= ProbeFresh {
		c.claim.stand(oldest)
	}
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
