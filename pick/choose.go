package pick

import (
	"math"
	"time"

	"clementinehead.example/chead/level"
)

// Candidate is an endpoint that a request could be sent to.
type Candidate struct {
	ID          string
	Load        int           // requests of all daemons in progress there, as last reported
	Expected    float64       // requests of all daemons that are expected to be in progress there now, of those that were reported
	ReadTime    time.Duration // to read the prompts that wait there and that of the request
	Slots       int           // requests that it runs at once
	Slowdown    float64       // interval between events as a multiple of the expected one; at least 1
	FailureRate float64       // share of recent requests that failed there
	SameDomain  bool          // whether it is in this daemon's failure domain
	Stalled     bool          // whether no request there makes progress
	RateLimited bool          // whether this daemon's share of its rate is used up, as it is cold or states a limit
	NoMemory    bool          // whether the request doesn't fit into what is left of its memory
	Paused      bool          // whether it asked for no requests from this daemon for now
}

const (
	loadCost        = 6 * time.Millisecond   // delay of the first event by each request in progress
	fullCost        = 100 * time.Millisecond // further delay where all slots are taken
	crossDomainCost = 9 * time.Millisecond   // network delay to another failure domain, with the transfer
	failureFactor   = 6.0                    // relative increase of the cost where every request fails
	overcommit      = 1                      // requests beyond its slots that an endpoint may hold
)

// Choose returns the index of the candidate with the lowest cost, or -1 if every
// candidate is full, out of memory, stalled, rate-limited or paused. The cost is the expected time to the
// first event, increased if requests fail there.
//
// The cost of the load is multiplied by the endpoint's slowdown, so that a slow
// endpoint gets fewer requests rather than none and its recovery is noticed. The
// cost includes the time to read prompts, because prompts of uneven length delay
// each other at an endpoint long before all its slots are taken.
func Choose(candidates []Candidate) int {
	best := -1
	cost := time.Duration(0)
	for i, c := range candidates {
		if !c.available() || c.Load >= c.Slots+overcommit {
			continue
		}
		v := c.cost()
		if best < 0 || v < cost {
			best, cost = i, v
		}
	}
	return best
}

// sampleSize is the number of candidates that ChooseSampled draws.
const sampleSize = 4

// ChooseSampled is like Choose, but considers only sampleSize candidates drawn at
// random, with replacement; if none of these can take the request, it considers
// all. The function random returns random numbers in [0, 1).
//
// Sampling is needed because daemons know the load that the others cause with a
// delay of some hundred milliseconds. If each chose the best of all endpoints,
// they would overload the same one until they hear of each other's requests. See
// Mitzenmacher, "How Useful Is Old Information?", IEEE TPDS 11(1), 2000.
func ChooseSampled(candidates []Candidate, random func() float64) int {
	if len(candidates) <= sampleSize {
		return Choose(candidates)
	}
	var few [sampleSize]Candidate
	var at [sampleSize]int
	for i := range few {
		at[i] = int(random() * float64(len(candidates)))
		few[i] = candidates[at[i]]
	}
	if i := Choose(few[:]); i >= 0 {
		return at[i]
	}
	return Choose(candidates)
}

// ChooseStale is ChooseSampled or, where the other daemons are expected to have sent more
// requests since the loads that they reported than there are candidates, ChooseLevelled.
func ChooseStale(candidates []Candidate, sent float64, random func() float64) int {
	if sent <= float64(len(candidates)) {
		return ChooseSampled(candidates, random)
	}
	return ChooseLevelled(candidates, sent, random)
}

// ChooseLevelled is like Choose, but takes into account that the loads of the other
// daemons are known with a delay. The argument sent is the number of requests that these
// are expected to have sent since, and that are in progress yet. It chooses at random, so
// that the requests of all daemons bring the endpoints to the same cost rather than all to
// the one that was cheapest when the loads were reported. The function random returns
// random numbers in [0, 1).
//
// Endpoints that were full when they reported get none, unless the others have less room
// than was sent: then all have had to be filled, and the few that seemed to have room
// would get everything.
func ChooseLevelled(candidates []Candidate, sent float64, random func() float64) int {
	endpoints, index, room := fillable(candidates, func(c Candidate) bool { return c.Load < c.Slots+overcommit })
	if room < 1+sent {
		endpoints, index, _ = fillable(candidates, func(Candidate) bool { return true })
	}
	if len(index) == 0 {
		return -1
	}
	return index[level.Draw(level.Fill(endpoints, 1+sent), random())]
}

// fillable returns the available candidates that are expected to have room now and that
// pass a test, for package level, with their indices and their room together.
func fillable(candidates []Candidate, passes func(Candidate) bool) (endpoints []level.Endpoint, index []int, room float64) {
	for i, c := range candidates {
		e := c.endpoint()
		if !c.available() || e.Room <= 0 || !passes(c) {
			continue
		}
		endpoints = append(endpoints, e)
		index = append(index, i)
		room += e.Room
	}
	return endpoints, index, room
}

// endpoint returns a candidate that takes requests for package level. The level is the cost
// in seconds.
func (c Candidate) endpoint() level.Endpoint {
	return level.Endpoint{
		Level: c.costAt(c.Expected).Seconds(),
		Rise:  loadCost.Seconds() * c.costFactor(),
		Room:  float64(c.Slots+overcommit) - c.Expected,
	}
}

// available reports whether the endpoint may get requests now, if it has a slot.
func (c Candidate) available() bool {
	return !c.Stalled && !c.RateLimited && !c.Paused && !c.NoMemory
}

// cost returns the value that Choose minimizes.
func (c Candidate) cost() time.Duration { return c.costAt(float64(c.Load)) }

// costAt returns the cost with a number of requests in progress.
func (c Candidate) costAt(load float64) time.Duration {
	v := float64(c.ReadTime) + (load+1)*float64(loadCost)
	if load >= float64(c.Slots) {
		v += float64(fullCost)
	}
	cost := time.Duration(v * c.costFactor())
	if !c.SameDomain {
		cost += crossDomainCost
	}
	return cost
}

// costFactor returns the factor of the cost of the endpoint's load.
func (c Candidate) costFactor() float64 {
	return max(1, c.Slowdown) * (1 + failureFactor*c.FailureRate)
}

// expectedSent returns the requests that are expected to be in progress yet of those that
// arrived at a rate per second in a delay, where a request takes a time on average.
func expectedSent(rate float64, delay, hold time.Duration) float64 {
	if hold <= 0 {
		return 0
	}
	return rate * hold.Seconds() * (1 - math.Exp(-delay.Seconds()/hold.Seconds()))
}

// expectedLoad returns the requests in progress at an endpoint that are expected to be left
// of this daemon's own and of those that the others reported a delay ago, where a request
// takes a time on average.
func expectedLoad(own, others int, delay, hold time.Duration) float64 {
	if hold <= 0 {
		return float64(own + others)
	}
	return float64(own) + float64(others)*math.Exp(-delay.Seconds()/hold.Seconds())
}

// QueueState describes the requests that wait for one model or service at all daemons
// when a request arrives at this one.
type QueueState struct {
	InTime      int           // waiting requests that can still be answered within their latency target
	Late        int           // waiting requests that can't
	FreeRate    float64       // slots freed per second
	ArrivalRate float64       // requests arriving per second, without retries
	Slack       time.Duration // time that the request can wait for a slot before it is late; negative if it is late already
	MaxWait     time.Duration // longest wait that the caller accepts
	Begun       bool          // whether it may have run, so that to refuse it is to fail it
	Resumed     bool          // whether its caller has received a part of the stream already
	Paused      time.Duration // until the first endpoint that serves it takes requests again; 0 if one does now
	Hidden      int           // requests at each endpoint that no daemon reports, by what endpoints state
	Level       int           // how far its client account is above what is due to it; 0 where callers don't compete
	Limited     int           // endpoints whose stated limit leaves nothing for this daemon now
}

// Decision says whether a request for which no slot is free waits or is refused.
type Decision struct {
	Wait       bool
	RetryAfter time.Duration // if it is refused: delay before the caller retries
}

const (
	minRetryAfter = 500 * time.Millisecond // least value of Decision.RetryAfter
	maxRetryAfter = 2 * time.Second        // greatest value of Decision.RetryAfter
	maxLateWait   = 700 * time.Millisecond // longest expected wait of a request that will be late
	saturation    = 0.95                   // arrival rate, as a fraction of the rate of freed slots, from which late requests are refused
)

// Admit decides whether a request waits in the queue or is refused at once.
//
// The rule is made for an overload of some seconds, such as after the loss of a
// failure domain or in a burst, when a single first-come, first-served queue would
// serve every request late. The queue is therefore no longer than what can be
// served in time, late requests get the capacity that remains, and a request that
// would get none is refused at once, as is one that no endpoint takes for longer than
// it can wait. A request that may have run always waits, because to refuse it is to fail
// it or to cut its stream.
func Admit(q QueueState) Decision {
	if q.Begun || q.Resumed {
		return Decision{Wait: true}
	}
	if q.Paused > q.MaxWait {
		return Decision{RetryAfter: q.Paused}
	}
	expected := max(q.Paused, expectedWait(q.InTime+1, q.FreeRate))
	if expected <= min(q.Slack, q.MaxWait) {
		return Decision{Wait: true}
	}
	withLate := max(q.Paused, expectedWait(q.InTime+q.Late+1, q.FreeRate))
	if withLate <= min(maxLateWait, q.MaxWait) && !saturated(q.ArrivalRate, q.FreeRate) {
		return Decision{Wait: true}
	}
	return Decision{RetryAfter: min(maxRetryAfter, max(minRetryAfter, withLate))}
}

// saturated reports whether arrivals take nearly all slots that are freed.
func saturated(arrivals, rate float64) bool { return arrivals >= saturation*rate }

// expectedWait returns the expected time until n slots have been freed, where
// rate is the number freed per second. If none was freed recently, it counts
// maxRetryAfter for each slot after the first, so that one request may wait.
func expectedWait(n int, rate float64) time.Duration {
	if rate <= 0 {
		return time.Duration(n-1) * maxRetryAfter
	}
	return time.Duration(float64(n) / rate * float64(time.Second))
}
