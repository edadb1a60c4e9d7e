package pick

import "time"

// Candidate is an endpoint that could take a request.
type Candidate struct {
	ID     string
	Load   int           // requests in progress there, of all daemons
	Read   time.Duration // until it has read the prompts that wait there, and this one's
	Slots  int           // requests that it runs at once
	Slow   float64       // how many times slower than it should be; 1 or more
	Fails  float64       // share of late requests that failed there
	Near   bool          // in this daemon's failure domain
	Stuck  bool          // nothing there makes progress
	Frozen bool          // it is cold and has had its share of this second
}

const (
	loadPrice = 6 * time.Millisecond   // later first event by each request in progress
	fullPrice = 100 * time.Millisecond // the same where all places are taken
	farPrice  = 9 * time.Millisecond   // way to another failure domain, with its bytes
	failPrice = 6.0                    // factor on the cost of an endpoint at which everything fails
	overfull  = 1                      // requests beyond its slots that an endpoint may hold
)

// Choose returns the index of the candidate that will serve a request first, or
// -1 where all are full or none is fit. It answers even load with single
// endpoints slow or failing: load counts by the endpoint's speed, so that a
// slow one gets less rather than nothing, and its recovery is noticed. And it
// answers prompts of uneven length, which hold up each other at an endpoint
// long before its places are taken.
func Choose(candidates []Candidate) int {
	best := -1
	cost := time.Duration(0)
	for i, c := range candidates {
		if c.Stuck || c.Frozen || c.Load >= c.Slots+overfull {
			continue
		}
		v := c.cost()
		if best < 0 || v < cost {
			best, cost = i, v
		}
	}
	return best
}

// sample is how many endpoints a request is placed among.
const sample = 4

// ChooseAmong is as Choose, among a few candidates drawn at random, and among all
// where none of these will do. It answers many daemons that know the load of
// endpoints from some hundred milliseconds ago: if all chose the best of all,
// they would fall upon the same one until they hear of each other. See
// Mitzenmacher, "How Useful Is Old Information?", IEEE TPDS 11(1), 2000.
func ChooseAmong(candidates []Candidate, draw func() float64) int {
	if len(candidates) <= sample {
		return Choose(candidates)
	}
	var few [sample]Candidate
	var at [sample]int
	for i := range few {
		at[i] = int(draw() * float64(len(candidates)))
		few[i] = candidates[at[i]]
	}
	if i := Choose(few[:]); i >= 0 {
		return at[i]
	}
	return Choose(candidates)
}

func (c Candidate) cost() time.Duration {
	v := c.Read + time.Duration(c.Load+1)*loadPrice
	if c.Load >= c.Slots {
		v += fullPrice
	}
	v = time.Duration(float64(v) * max(1, c.Slow) * (1 + failPrice*c.Fails))
	if !c.Near {
		v += farPrice
	}
	return v
}

// Queue is the line of requests for one model or service at this daemon, as one
// that arrives finds it.
type Queue struct {
	InTime   int           // requests that wait and can still be answered within their aim
	Late     int           // requests that wait and can't
	Rate     float64       // places that come free here in a second
	Arrivals float64       // requests that arrive here in a second
	Slack    time.Duration // wait after which the request is late; below 0 where it is already
	Limit    time.Duration // the longest wait of use to the caller
	Begun    bool          // its caller has a part of the stream already
}

// Verdict says what becomes of a request for which no place is free.
type Verdict struct {
	Wait  bool
	After time.Duration // where it is refused: when to come back
}

const (
	leastRetry = 500 * time.Millisecond
	mostRetry  = 2 * time.Second
	lateLimit  = 700 * time.Millisecond // the longest expected wait of a request that will be late
	crowdedAt  = 0.95                   // arrivals, as a part of the places that come free, from which late requests go unserved
)

// Wait decides between waiting and refusing at once. It answers a load above
// what the endpoints serve for seconds, as after the loss of a failure domain
// or in a burst: in a line for all, everybody would be served late. So the line
// is as long as what can be served in time, late requests get what is left, and
// whoever would get nothing learns it at once.
// A stream that broke off waits in any case: to refuse it is to cut it.
func Wait(q Queue) Verdict {
	if q.Begun {
		return Verdict{Wait: true}
	}
	expected := wait(q.InTime+1, q.Rate)
	if expected <= min(q.Slack, q.Limit) {
		return Verdict{Wait: true}
	}
	all := wait(q.InTime+q.Late+1, q.Rate)
	if all <= min(lateLimit, q.Limit) && !crowded(q.Arrivals, q.Rate) {
		return Verdict{Wait: true}
	}
	return Verdict{After: min(mostRetry, max(leastRetry, all))}
}

// crowded reports whether arrivals take about all places that come free.
func crowded(arrivals, rate float64) bool { return arrivals >= crowdedAt*rate }

// wait returns how long n places take to come free. Where none did lately, one
// request waits for the first.
func wait(n int, rate float64) time.Duration {
	if rate <= 0 {
		return time.Duration(n-1) * mostRetry
	}
	return time.Duration(float64(n) / rate * float64(time.Second))
}
