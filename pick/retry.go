package pick

import (
	"time"

	"clementinehead.example/chead/gossip"
)

// AllowRetry asks the budget of a service for a retry, which is counted if allowed.
// Extra is divided among the daemons.
func (p *Placer) AllowRetry(service string) RetryDecision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budgetInForce(service).AllowRetry(time.Now())
}

// CountRequest adds a caller's request to the budget of a service.
func (p *Placer) CountRequest(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget(service).CountRequest(time.Now())
}

// Successor returns a slot for the retry of a request whose send is still in progress,
// and counts the retry in the budget. It doesn't wait, nor go before queued requests
// that are in time unless the request is Resumed. The slot is nil if the budget allows
// no retry, or if no endpoint has a free slot. It is to be given back by Cancel if it
// isn't used.
func (p *Placer) Successor(request Request) (*Slot, RetryDecision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	b := p.budgetInForce(request.Service)
	decision := b.decide(now)
	q := p.queue(request.key())
	if !decision.Allowed || q.hasInTime(now) && !request.Resumed {
		return nil, decision
	}
	request.Account = "" // charged with the first send
	slot := p.tryAcquire(request, q, now)
	if slot != nil {
		b.AllowRetry(now)
		slot.retry = now
	}
	return slot, decision
}

// Cancel gives back a slot that was not used. A retry that Successor counted for it no
// longer counts.
func (s *Slot) Cancel() {
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	if s.done {
		return
	}
	s.placer.budget(s.Endpoint.Service).giveBack(s.retry)
	s.placer.release(s, time.Now())
}

// budgetInForce returns the budget of a service with the present settings. The lock
// must be held.
func (p *Placer) budgetInForce(service string) *Budget {
	b := p.budget(service)
	inForce := p.options.Budget()
	b.Ratio = inForce.Ratio
	b.Window = inForce.Window
	b.Shares = max(1, p.options.Daemons())
	b.AllExtra = inForce.Extra
	b.Extra = b.AllExtra / float64(b.Shares)
	b.News = max(minNews, 2*p.options.Delay())
	return b
}

// budget returns the budget of a service, which it makes on first use. The lock must
// be held.
func (p *Placer) budget(service string) *Budget {
	b, ok := p.budgets[service]
	if !ok {
		copied := p.options.Budget()
		b = &copied
		p.budgets[service] = b
	}
	return b
}

// hearRetries adds what the other daemons sent of late to the budgets. The lock must be
// held.
func (p *Placer) hearRetries(messages []gossip.Message, now time.Time) {
	heard := map[string]gossip.Retries{}
	for _, m := range messages {
		for service, r := range m.Retries {
			heard[service] = heard[service].Plus(r)
		}
	}
	for service := range heard {
		p.budget(service)
	}
	for service, b := range p.budgets {
		b.others.update(heard[service], b.Since, now, b.Window)
	}
}

// reportRetries returns what this daemon sent of late by service. The lock must be held.
func (p *Placer) reportRetries(now time.Time) map[string]gossip.Retries {
	reports := map[string]gossip.Retries{}
	for service, b := range p.budgets {
		if r := b.reportRetries(now); r != (gossip.Retries{}) {
			reports[service] = r
		}
	}
	return reports
}
