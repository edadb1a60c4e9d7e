package pick

import (
	"time"

	"clementinehead.example/chead/site"
	"clementinehead.example/chead/watch"
)

const (
	leavingMemory = 5 * time.Minute  // for which an endpoint's notice to leave is kept; it ends long before
	maxPause      = 10 * time.Minute // longest pause that an endpoint may ask for
)

// leaving is an endpoint's notice that it leaves.
type leaving struct {
	started int64 // as site.State.Started; a later start under the same id is not bound by it
	until   time.Time
}

// Leave records that the endpoint stated in a response that it leaves. It gets no
// more requests, whether its entry in the store says so or not.
func (s *Slot) Leave() {
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	s.placer.recordLeaving(s.Endpoint.ID, s.Endpoint.State.Started, "")
}

// Pause records that the endpoint asked for no requests from this daemon for a time.
func (s *Slot) Pause(d time.Duration) {
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	until := time.Now().Add(min(d, maxPause))
	if until.After(s.state.pausedUntil) {
		s.state.pausedUntil = until
		s.placer.options.Log.Info("endpoint paused", "endpoint", s.Endpoint.ID, "pause_ms", min(d, maxPause).Milliseconds())
	}
}

// recordLeaving stores and logs a notice to leave. The argument peer is the daemon
// that passed it on, empty for this one. The lock must be held.
func (p *Placer) recordLeaving(id string, started int64, peer string) {
	now := time.Now()
	known, ok := p.leaving[id]
	if ok && known.started >= started && now.Before(known.until) {
		return
	}
	p.leaving[id] = leaving{started: started, until: now.Add(leavingMemory)}
	p.options.Log.Info("endpoint leaves", "endpoint", id, "started", started, "peer", peer)
}

// dropLeaving removes the notices that are no longer needed.
func (p *Placer) dropLeaving(now time.Time) {
	for id, l := range p.leaving {
		if !now.Before(l.until) {
			delete(p.leaving, id)
		}
	}
}

// isLeaving reports whether an endpoint has given notice in its present life.
func (p *Placer) isLeaving(e site.Endpoint) bool {
	l, ok := p.leaving[e.ID]
	return ok && l.started == e.State.Started
}

// Leaving reports whether an endpoint stated to this daemon or to another one that
// it leaves.
func (p *Placer) Leaving(e site.Endpoint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isLeaving(e)
}

// reportLeaving returns the start of an endpoint that is listed and leaves, for the
// other daemons, or 0.
func (p *Placer) reportLeaving(v *watch.Snapshot, id string) int64 {
	if e, listed := v.Endpoints[id]; listed && p.isLeaving(e) {
		return e.State.Started
	}
	return 0
}

// unavailableFor returns the time until the first of the endpoints takes requests again
// after a pause or by its limit, or 0 if one does now or there are none.
func (p *Placer) unavailableFor(endpoints []site.Endpoint, q *queue, now time.Time) time.Duration {
	shortest := time.Duration(0)
	for _, e := range endpoints {
		s := p.endpoint(e.ID)
		left := max(s.pausedUntil.Sub(now), min(maxRetryAfter, p.limitWait(s, e, q, now)))
		if left <= 0 {
			return 0
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}
