package gate

import (
	"slices"
	"time"

	"clementinehead.example/chead/wire"
)

// ask is a request for a permit that waits.
type ask struct {
	id      uint64
	request *wire.AcquireRequest
	alone   bool
	arrived time.Time
}

// cost is the work that a request may bring, in tokens.
func (a *ask) cost() float64 { return float64(max(a.request.Tokens, 1)) }

// flow is the waiting requests of one client account, in the order in which
// they will be served.
type flow struct {
	account string
	weight  float64
	start   float64 // start tag of the first one
	finish  float64 // finish tag of the last one served
	asks    []*ask
	served  time.Time     // when one was last served while others waited, or zero
	pace    time.Duration // mean time between services while some wait
}

// paceWeight is the weight of the newest time in the mean.
const paceWeight = 0.1

// queue serves client accounts by start-time fair queueing (Goyal, Vin and
// Cheng, "Start-time Fair Queueing", 1996). A request's start tag is the
// larger of the virtual time at its arrival and the finish tag of the
// account's request before; the smallest start tag is served first and becomes
// the virtual time. A finish tag lies the request's cost over the account's
// weight above its start tag.
type queue struct {
	flows   map[string]*flow
	virtual float64
	length  int
}

const maxIdleFlows = 256 // accounts remembered while they wait for nothing

func newQueue() queue { return queue{flows: map[string]*flow{}} }

// flow returns an account's flow.
func (q *queue) flow(account string, weight float64) *flow {
	f, ok := q.flows[account]
	if !ok {
		q.trim()
		f = &flow{account: account}
		q.flows[account] = f
	}
	f.weight = weight
	if len(f.asks) == 0 {
		f.start = max(q.virtual, f.finish)
	}
	return f
}

// trim forgets accounts that wait for nothing and are owed nothing.
func (q *queue) trim() {
	if len(q.flows) < maxIdleFlows {
		return
	}
	for account, f := range q.flows {
		if len(f.asks) == 0 && f.finish <= q.virtual {
			delete(q.flows, account)
		}
	}
}

// push adds a request behind those of its account with the same or a higher
// priority.
func (q *queue) push(f *flow, a *ask) {
	f.asks = slices.Insert(f.asks, f.place(a.request.Priority), a)
	q.length++
}

// place returns where a request of a priority would stand.
func (f *flow) place(priority int32) int {
	at := len(f.asks)
	for at > 0 && f.asks[at-1].request.Priority < priority {
		at--
	}
	return at
}

// first returns the flow whose first request is served next, among those that
// pass, or nil.
func (q *queue) first(pass func(*flow) bool) *flow {
	var best *flow
	for _, f := range q.flows {
		if len(f.asks) == 0 || !pass(f) {
			continue
		}
		if best == nil || earlier(f, best) {
			best = f
		}
	}
	return best
}

func earlier(a, b *flow) bool {
	if a.start != b.start {
		return a.start < b.start
	}
	return a.account < b.account
}

// serve takes the first request of a flow.
func (q *queue) serve(now time.Time, f *flow) *ask {
	a := f.asks[0]
	f.asks = f.asks[1:]
	q.length--
	f.keepPace(now)
	q.charge(f, a.cost())
	return a
}

// keepPace learns how fast a flow is served while it always has some waiting.
func (f *flow) keepPace(now time.Time) {
	if !f.served.IsZero() {
		f.pace += time.Duration(paceWeight * float64(now.Sub(f.served)-f.pace))
	}
	f.served = now
	if len(f.asks) == 0 {
		f.served = time.Time{}
		f.pace = 0
	}
}

// expect returns how long a request would wait behind those of its own flow.
func (f *flow) expect(a *ask) time.Duration {
	if len(f.asks) == 0 {
		return 0
	}
	return time.Duration(f.place(a.request.Priority)+1) * f.pace
}

// charge books the service of one request to a flow.
func (q *queue) charge(f *flow, cost float64) {
	q.virtual = max(q.virtual, f.start)
	f.finish = f.start + cost/f.weight
	f.start = f.finish
}

// remove takes a request out that waits no longer.
func (q *queue) remove(id uint64) *ask {
	for _, f := range q.flows {
		for i, a := range f.asks {
			if a.id != id {
				continue
			}
			f.asks = slices.Delete(f.asks, i, i+1)
			q.length--
			return a
		}
	}
	return nil
}

// clear takes all requests out, by arrival.
func (q *queue) clear() []*ask {
	var all []*ask
	for _, f := range q.flows {
		all = append(all, f.asks...)
		f.asks = nil
	}
	q.length = 0
	slices.SortFunc(all, func(a, b *ask) int { return int(a.id) - int(b.id) })
	return all
}

// ahead returns how many requests would be served before a new one of a flow.
func (q *queue) ahead(f *flow, a *ask) int {
	own := f.place(a.request.Priority)
	start := f.start
	for _, before := range f.asks[:own] {
		start += before.cost() / f.weight
	}
	count := own
	for _, other := range q.flows {
		if other != f {
			count += other.before(start)
		}
	}
	return count
}

// before returns how many of a flow's requests have a smaller start tag.
func (f *flow) before(start float64) int {
	tag := f.start
	for i, a := range f.asks {
		if tag >= start {
			return i
		}
		tag += a.cost() / f.weight
	}
	return len(f.asks)
}

// longest returns the flow that waits with the most requests for its weight.
func (q *queue) longest() *flow {
	var best *flow
	for _, f := range q.flows {
		if len(f.asks) == 0 {
			continue
		}
		if best == nil || f.share(0) > best.share(0) ||
			(f.share(0) == best.share(0) && f.account < best.account) {
			best = f
		}
	}
	return best
}

// share is the requests that wait, with extra ones, for a flow's weight.
func (f *flow) share(extra int) float64 {
	return float64(len(f.asks)+extra) / f.weight
}

// evict makes room for one request of f by taking the last one of the account
// that holds the most of the queue for its weight. It returns nil when that is
// f itself. (Longest queue drop: Suter, Lakshman, Stiliadis and Choudhury,
// "Buffer Management Schemes for Supporting TCP in Gigabit Routers with
// Per-flow Queueing", 1999.)
func (q *queue) evict(f *flow) *ask {
	victim := q.longest()
	if victim == nil || victim == f || victim.share(0) <= f.share(1) {
		return nil
	}
	last := victim.asks[len(victim.asks)-1]
	victim.asks = victim.asks[:len(victim.asks)-1]
	q.length--
	return last
}
