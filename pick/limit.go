package pick

import "time"

// limitWindow is the time over which the sends to an endpoint that states a limit are
// counted.
const limitWindow = 4 * time.Second

// limit is the rate that an endpoint states in its answers: the requests per second that
// it takes from all daemons together.
type limit struct {
	rate   float64
	known  bool          // whether it has stated one
	ended  bool          // whether it states none any more
	stated time.Duration // boot clock: when the latest answer came that says so
}

// inForce reports whether the endpoint states a limit.
func (l limit) inForce() bool { return l.known && !l.ended }

// Limit records that the endpoint stated in an answer how many requests per second it
// takes from all daemons together.
func (s *Slot) Limit(rate float64) {
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	s.placer.recordLimit(s.state, limit{rate: rate, known: true, stated: s.placer.options.Boot()})
}

// EndLimit records that the endpoint stated no limit in the answer to a request that was
// sent at the given time. It has no effect if the endpoint has stated one since, as
// answers may overtake each other.
func (s *Slot) EndLimit(sent time.Time) {
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	now := s.placer.options.Boot()
	if known := s.state.limit; !known.inForce() || known.stated > now-time.Since(sent) {
		return
	}
	s.placer.recordLimit(s.state, limit{known: true, ended: true, stated: now})
}

// recordLimit stores and logs a limit. The lock must be held.
func (p *Placer) recordLimit(s *endpointState, l limit) {
	before := s.limit
	s.limit = l
	if before.known && before.ended == l.ended && before.rate == l.rate {
		return
	}
	p.options.Log.Info("endpoint limit", "endpoint", s.id, "limit", l.rate, "ended", l.ended, "before", before.rate,
		"sends", s.recentSends(time.Now()), "daemons", p.options.Daemons())
}

// recentSends returns the number of this daemon's sends within limitWindow.
func (s *endpointState) recentSends(now time.Time) int {
	s.sends = trim(s.sends, now.Add(-limitWindow))
	return len(s.sends)
}
