package pick

import (
	"math"
	"time"
)

// The load of an endpoint is known from the reports of the daemons. It is higher than these
// say while more and more requests arrive, and while some daemons aren't heard. Endpoints
// state in their answers how many requests they have. What they state beyond the reports, on
// average over the endpoints of a queue, counts as hidden load of each.

const (
	hiddenWeight = 0.1             // weight of the newest answer in the hidden load
	hiddenMemory = 2 * time.Second // time constant by which the hidden load lapses without answers
)

// hidden is the mean load of a queue's endpoints beyond the reported one. The zero value is
// ready to use.
type hidden struct {
	load    float64 // requests at each endpoint
	updated time.Time
}

// add adds what an endpoint stated beyond the reported load, which may be negative.
func (h *hidden) add(now time.Time, excess int) {
	h.load = h.at(now) + hiddenWeight*(float64(excess)-h.at(now))
	h.updated = now
}

// at returns the hidden load, which may be negative.
func (h *hidden) at(now time.Time) float64 {
	return h.load * math.Exp(-now.Sub(h.updated).Seconds()/hiddenMemory.Seconds())
}

// requests returns the hidden load in whole requests, fewer than the slots of
// an endpoint, so that what is only concluded never fills one.
func (h *hidden) requests(now time.Time, slots int) int {
	return min(slots-1, max(0, int(math.Round(h.at(now)))))
}

// State records that an endpoint stated in an answer how many requests of all daemons it
// has, running and waiting.
func (s *Slot) State(requests int) {
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	if s.done || s.Peer {
		return
	}
	service, _ := s.placer.service(s.Endpoint.Service)
	most := configuredSlots(service, s.Endpoint) + overcommit
	excess := requests - s.state.running - s.state.othersRunning
	s.queue.hidden.add(time.Now(), min(most, max(-most, excess)))
}
