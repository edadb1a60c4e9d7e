package pick

import "time"

// Reservation is the place in the queue of a request whose send is still in progress.
type Reservation struct {
	placer *Placer
	queue  *queue
	waiter *waiter
}

// Reserve queues for a slot for the retry of a request whose send is still in progress.
// It calls granted in a goroutine of its own with the slot, once, unless Cancel comes
// first. The retry is to be counted by CountRetry.
func (p *Placer) Reserve(request Request, granted func(*Slot)) *Reservation {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	request.Retried = true // not refused while it waits
	q := p.queue(request.key())
	w := &waiter{request: request, slot: make(chan *Slot, 1), inTimeUntil: now.Add(q.state(request, now).Slack), reserving: true}
	q.waiting = append(q.waiting, w)
	go func() {
		if slot, ok := <-w.slot; ok {
			granted(slot)
		}
	}()
	return &Reservation{placer: p, queue: q, waiter: w}
}

// Cancel leaves the queue. It has no effect once the slot was granted.
func (r *Reservation) Cancel() {
	r.placer.mu.Lock()
	defer r.placer.mu.Unlock()
	if r.queue.remove(r.waiter) {
		close(r.waiter.slot)
	}
}

// CountRetry counts the retry of a request that was granted a slot of a Reservation, if
// the budget allows it.
func (s *Slot) CountRetry() RetryDecision {
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	now := time.Now()
	decision := s.placer.budgetInForce(s.Endpoint.Service).AllowRetry(now)
	if decision.Allowed {
		s.retry = now
	}
	return decision
}
