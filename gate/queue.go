package gate

import (
	"slices"
	"time"

	"clementinehead.example/chead/wire"
)

// acquisition is a request for a permit, from its arrival to its answer.
type acquisition struct {
	id      uint64
	request *wire.AcquireRequest
	alone   bool // has to run with no other request in progress
	arrived time.Time
}

// cost returns the work that the request may cause, in tokens.
func (a *acquisition) cost() float64 { return float64(max(a.request.Tokens, 1)) }

// flow holds the waiting requests of one client account, in the order in which
// they will be served.
type flow struct {
	account    string
	weight     float64
	start      float64 // start tag of the first waiting request
	finish     float64 // finish tag of the last request served
	waiting    []*acquisition
	lastServed time.Time     // when a request was last served while others waited, or zero
	interval   time.Duration // mean time between services while requests wait
}

// intervalWeight is the weight of the newest interval in the mean.
const intervalWeight = 0.1

// queue serves client accounts by start-time fair queueing (Goyal, Vin and
// Cheng, "Start-time Fair Queueing", 1996). A request's start tag is the larger
// of the virtual time at its arrival and the finish tag of the account's
// previous request. The request with the smallest start tag is served first,
// and its tag becomes the virtual time. The finish tag is the start tag plus
// the request's cost divided by the account's weight.
type queue struct {
	flows   map[string]*flow
	virtual float64 // virtual time
	length  int
}

const maxIdleFlows = 256 // flows above which those without waiting requests are dropped

func newQueue() queue { return queue{flows: map[string]*flow{}} }

// flow returns the flow of an account, which it creates if there is none.
func (q *queue) flow(account string, weight float64) *flow {
	f, ok := q.flows[account]
	if !ok {
		q.trim()
		f = &flow{account: account}
		q.flows[account] = f
	}
	f.weight = weight
	if len(f.waiting) == 0 {
		f.start = max(q.virtual, f.finish)
	}
	return f
}

// trim drops the flows that have no waiting requests and whose finish tag is
// not above the virtual time, once there are maxIdleFlows flows.
func (q *queue) trim() {
	if len(q.flows) < maxIdleFlows {
		return
	}
	for account, f := range q.flows {
		if len(f.waiting) == 0 && f.finish <= q.virtual {
			delete(q.flows, account)
		}
	}
}

// push inserts a request after those of its account with the same or a higher
// priority.
func (q *queue) push(f *flow, a *acquisition) {
	f.waiting = slices.Insert(f.waiting, f.position(a.request.Priority), a)
	q.length++
}

// position returns the index at which a request of a priority would be
// inserted.
func (f *flow) position(priority int32) int {
	at := len(f.waiting)
	for at > 0 && f.waiting[at-1].request.Priority < priority {
		at--
	}
	return at
}

// next returns the eligible flow whose first request is to be served next, or
// nil.
func (q *queue) next(eligible func(*flow) bool) *flow {
	var best *flow
	for _, f := range q.flows {
		if len(f.waiting) == 0 || !eligible(f) {
			continue
		}
		if best == nil || earlier(f, best) {
			best = f
		}
	}
	return best
}

// earlier reports whether flow a is served before flow b. The account's name
// breaks ties.
func earlier(a, b *flow) bool {
	if a.start != b.start {
		return a.start < b.start
	}
	return a.account < b.account
}

// serve removes and returns the first request of a flow.
func (q *queue) serve(now time.Time, f *flow) *acquisition {
	a := f.waiting[0]
	f.waiting = f.waiting[1:]
	q.length--
	f.updateInterval(now)
	q.charge(f, a.cost())
	return a
}

// updateInterval updates the mean time between services while the flow has
// waiting requests, and resets it when none is left.
func (f *flow) updateInterval(now time.Time) {
	if !f.lastServed.IsZero() {
		f.interval += time.Duration(intervalWeight * float64(now.Sub(f.lastServed)-f.interval))
	}
	f.lastServed = now
	if len(f.waiting) == 0 {
		f.lastServed = time.Time{}
		f.interval = 0
	}
}

// expectedWait returns the time for which a request would wait behind those of
// its own flow.
func (f *flow) expectedWait(a *acquisition) time.Duration {
	if len(f.waiting) == 0 {
		return 0
	}
	return time.Duration(f.position(a.request.Priority)+1) * f.interval
}

// charge advances the tags of a flow by the cost of one served request.
func (q *queue) charge(f *flow, cost float64) {
	q.virtual = max(q.virtual, f.start)
	f.finish = f.start + cost/f.weight
	f.start = f.finish
}

// remove removes a request that no longer waits, and returns nil if it isn't
// queued.
func (q *queue) remove(id uint64) *acquisition {
	for _, f := range q.flows {
		for i, a := range f.waiting {
			if a.id != id {
				continue
			}
			f.waiting = slices.Delete(f.waiting, i, i+1)
			q.length--
			return a
		}
	}
	return nil
}

// clear removes and returns all requests, in order of arrival.
func (q *queue) clear() []*acquisition {
	var all []*acquisition
	for _, f := range q.flows {
		all = append(all, f.waiting...)
		f.waiting = nil
	}
	q.length = 0
	slices.SortFunc(all, func(a, b *acquisition) int { return int(a.id) - int(b.id) })
	return all
}

// ahead returns the number of requests that would be served before a new one of
// a flow.
func (q *queue) ahead(f *flow, a *acquisition) int {
	own := f.position(a.request.Priority)
	start := f.start
	for _, before := range f.waiting[:own] {
		start += before.cost() / f.weight
	}
	count := own
	for _, other := range q.flows {
		if other != f {
			count += other.countBefore(start)
		}
	}
	return count
}

// countBefore returns how many of a flow's requests have a smaller start tag.
func (f *flow) countBefore(start float64) int {
	tag := f.start
	for i, a := range f.waiting {
		if tag >= start {
			return i
		}
		tag += a.cost() / f.weight
	}
	return len(f.waiting)
}

// longest returns the flow with the most waiting requests in proportion to its
// weight.
func (q *queue) longest() *flow {
	var best *flow
	for _, f := range q.flows {
		if len(f.waiting) == 0 {
			continue
		}
		if best == nil || f.weightedLength(0) > best.weightedLength(0) ||
			(f.weightedLength(0) == best.weightedLength(0) && f.account < best.account) {
			best = f
		}
	}
	return best
}

// weightedLength returns the number of waiting requests plus extra, divided by
// the flow's weight.
func (f *flow) weightedLength(extra int) float64 {
	return float64(len(f.waiting)+extra) / f.weight
}

// evict makes space for a request of f by removing the last request of the
// account that has the most waiting requests for its weight. It returns nil if
// that account is f's, or has no more waiting requests for its weight than f
// would have with the new one. (Longest queue drop: Suter, Lakshman, Stiliadis
// and Choudhury, "Buffer Management Schemes for Supporting TCP in Gigabit
// Routers with Per-flow Queueing", 1999.)
func (q *queue) evict(f *flow) *acquisition {
	victim := q.longest()
	if victim == nil || victim == f || victim.weightedLength(0) <= f.weightedLength(1) {
		return nil
	}
	last := victim.waiting[len(victim.waiting)-1]
	victim.waiting = victim.waiting[:len(victim.waiting)-1]
	q.length--
	return last
}
