package pick

import (
	"math"
	"time"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/site"
)

// The daemons keep to the limit that an endpoint states without a coordinator. Each takes
// a share of it by its part of the requests that arrive, and counts the sends of all
// daemons over a window. It sends less than its share once they reach the limit, and more
// while they are below it, since other daemons don't use theirs.

const (
	limitWindow    = 4 * time.Second        // over which the sends to an endpoint that states a limit are counted
	limitTolerance = 1.1                    // sends within the window from which none follows, as a multiple of the limit
	limitExtra     = 2.0                    // further sends within the window
	maxBoost       = 2.0                    // greatest multiple of a daemon's share
	minLimit       = 0.2                    // requests per second that are sent to an endpoint that states less, since only answers tell of another limit
	keepTime       = time.Second            // for which a daemon may use what it has of its share
	shareFloor     = 0.1                    // arrivals that a daemon's share counts at least, as a multiple of the mean
	limitNews      = 10 * time.Second       // for which the end of a limit is passed on
	tellTime       = 200 * time.Millisecond // longest delay of a message that isn't part of the ages in it
	refreshTime    = time.Second            // least difference in age for which an unchanged limit of a peer is taken over
)

// limit is the rate that an endpoint states in its answers: the requests per second that
// it takes from all daemons together.
type limit struct {
	started int64 // as site.State.Started; a later start under the same id is not bound by it
	rate    float64
	known   bool          // whether it has stated one
	ended   bool          // whether it states none any more
	stated  time.Duration // boot clock: when the latest answer came that says so
}

// inForce reports whether the endpoint states a limit.
func (l limit) inForce() bool { return l.known && !l.ended }

// same reports whether two limits say the same of the same life of an endpoint.
func (l limit) same(other limit) bool {
	return l.known == other.known && l.ended == other.ended && l.rate == other.rate && l.started == other.started
}

// replaces reports whether a limit that a peer passed on is newer than the one known.
func (l limit) replaces(known limit) bool {
	switch {
	case !known.known || l.started > known.started:
		return true
	case l.started < known.started:
		return false
	case l.same(known):
		return l.stated > known.stated+refreshTime
	}
	return l.stated > known.stated+tellTime
}

// Limit records that the endpoint stated in an answer how many requests per second it
// takes from all daemons together.
func (s *Slot) Limit(rate float64) {
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	s.placer.recordLimit(s.state, limit{started: s.Endpoint.State.Started, rate: rate, known: true, stated: s.placer.options.Boot()}, "")
}

// EndLimit records that the endpoint stated no limit in the answer to a request that was
// sent at the given time. It has no effect if the endpoint has stated one since, as
// answers may overtake each other.
func (s *Slot) EndLimit(sent time.Time) {
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	now := s.placer.options.Boot()
	known := s.state.limit
	if !known.inForce() || known.started == s.Endpoint.State.Started && known.stated > now-time.Since(sent) {
		return
	}
	s.placer.recordLimit(s.state, limit{started: s.Endpoint.State.Started, known: true, ended: true, stated: now}, "")
}

// adoptLimit records a limit that a peer passed on, if it is news.
func (p *Placer) adoptLimit(s *endpointState, told gossip.Limit, peer string) {
	if told.Age <= 0 || !(told.Rate >= 0) {
		return
	}
	age := time.Duration(told.Age) * time.Millisecond
	l := limit{started: told.Started, rate: told.Rate, known: true, ended: told.Ended, stated: p.options.Boot() - age}
	if l.replaces(s.limit) {
		p.recordLimit(s, l, peer)
	}
}

// recordLimit stores a limit, and logs it if it says something else than the one before.
// The argument peer is the daemon that passed it on, empty for this one. The lock must be
// held.
func (p *Placer) recordLimit(s *endpointState, l limit, peer string) {
	before := s.limit
	s.limit = l
	if before.same(l) {
		return
	}
	now := time.Now()
	p.options.Log.Info("endpoint limit", "endpoint", s.id, "limit", l.rate, "ended", l.ended, "before", before.rate, "peer", peer,
		"age_ms", (p.options.Boot() - l.stated).Milliseconds(), "sends", s.recentSends(now), "others", s.othersSent,
		"heard", p.heard, "daemons", p.listed)
	if l.inForce() && !before.inForce() || l.started != before.started {
		s.sends = nil
		s.bucket = bucket{tokens: p.options.Random(), refilled: now} // since all learn of it at about the same time
	}
}

// reportLimit returns what is known of the limit of an endpoint, for the other daemons.
func (p *Placer) reportLimit(s *endpointState) gossip.Limit {
	age := p.options.Boot() - s.limit.stated
	if !s.limit.known || s.limit.ended && age > limitNews {
		return gossip.Limit{}
	}
	return gossip.Limit{Started: s.limit.started, Rate: s.limit.rate, Ended: s.limit.ended, Age: int(age.Milliseconds()) + 1}
}

// limitInForce returns the limit that an endpoint states in its present life, and whether
// there is one.
func (s *endpointState) limitInForce(e site.Endpoint) (float64, bool) {
	if !s.limit.inForce() || s.limit.started != e.State.Started {
		return math.Inf(1), false
	}
	return max(s.limit.rate, minLimit), true
}

// Limited returns the number of listed endpoints that state a limit.
func (p *Placer) Limited() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, e := range p.options.Snapshot().Endpoints {
		if s, known := p.endpoints[e.ID]; known {
			if _, limited := s.limitInForce(e); limited {
				n++
			}
		}
	}
	return n
}

// limitWait returns the time until this daemon may send a request of a queue to an
// endpoint by the limit that the endpoint states; 0 if it may now.
func (p *Placer) limitWait(s *endpointState, e site.Endpoint, q *queue, now time.Time) time.Duration {
	rate, limited := s.limitInForce(e)
	if !limited {
		return 0
	}
	allowed := rate * limitWindow.Seconds() * float64(p.heard) / float64(p.listed)
	sent := float64(s.recentSends(now) + s.othersSent)
	pace := rate * p.share(q, now) * min(maxBoost, max(1, allowed/max(1, sent)))
	s.bucket.refill(pace, now, p.options.Random)
	wait := s.bucket.wait(pace)
	if excess := sent + 1 - limitTolerance*allowed - limitExtra; excess > 0 {
		wait = max(wait, seconds(excess/rate))
	}
	return wait
}

// share returns the part of a limit that is for this daemon. The daemons that are heard
// divide by their arrivals what the ones that are listed but not heard don't take.
func (p *Placer) share(q *queue, now time.Time) float64 {
	own, others := q.arrivals.rate(now), q.others.ArrivalRate
	floor := shareFloor*(own+others)/float64(p.heard) + minLimit
	part := (own + floor) / (own + others + floor*float64(p.heard))
	return part * float64(p.heard) / float64(p.listed)
}

// limitedRate returns the requests per second that endpoints take by the limits that they
// state, and how many have none left for this daemon now. The rate is infinite if one
// states no limit.
func (p *Placer) limitedRate(endpoints []site.Endpoint, q *queue, now time.Time) (rate float64, used int) {
	for _, e := range endpoints {
		s := p.endpoint(e.ID)
		limit, _ := s.limitInForce(e)
		rate += limit
		if p.limitWait(s, e, q, now) > 0 {
			used++
		}
	}
	return rate, used
}

// addLimits adds to the state of a queue what the endpoints that serve it have asked for:
// for how long all are paused or their limits leave nothing, and the slots that their
// limits let be freed.
func (p *Placer) addLimits(state *QueueState, endpoints []site.Endpoint, q *queue, now time.Time) {
	if len(endpoints) == 0 {
		return
	}
	state.Paused = p.unavailableFor(endpoints, q, now)
	rate, used := p.limitedRate(endpoints, q, now)
	state.Limited = used
	state.FreeRate = min(state.FreeRate, rate)
}

// recentSends returns the number of this daemon's sends within limitWindow.
func (s *endpointState) recentSends(now time.Time) int {
	s.sends = trim(s.sends, now.Add(-limitWindow))
	return len(s.sends)
}

// bucket is a token bucket: a request takes a token. A token that isn't used lapses after
// keepTime, so that the daemons don't each have one to spare when requests come to all.
type bucket struct {
	tokens   float64
	refilled time.Time
}

// refill adds the tokens since the last call, at a rate per second, and removes those that
// have lapsed. A daemon that has few begins again at a random time, since all may have had
// to let theirs lapse at the same time. The function random returns random numbers in
// [0, 1).
func (b *bucket) refill(rate float64, now time.Time, random func() float64) {
	b.tokens += rate * now.Sub(b.refilled).Seconds()
	b.refilled = now
	kept := rate * keepTime.Seconds()
	switch {
	case b.tokens <= 1+kept:
	case kept < 1:
		b.tokens = random()
	default:
		b.tokens = 1 + kept
	}
}

// wait returns the time until there is a token, at a rate per second.
func (b *bucket) wait(rate float64) time.Duration {
	if b.tokens >= 1 {
		return 0
	}
	return seconds((1 - b.tokens) / rate)
}

// seconds returns a time in seconds as a duration, at most maxPause.
func seconds(v float64) time.Duration {
	return time.Duration(min(v, maxPause.Seconds()) * float64(time.Second))
}
